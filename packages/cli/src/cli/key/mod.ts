/**
 * `ebonypath key`: grants, withdraws and lists the keys of workspaces.
 *
 * @module
 */
import * as crypto from "node:crypto";
import * as protocol from "@ebonypath/protocol";
import * as exitCode from "../../exit_code.ts";
import * as output from "../../output/mod.ts";
import * as input from "../input.ts";
import * as changing from "../changing.ts";
import type * as types from "../types.ts";

const KEY_BYTES = 32;
const KEY_ID_BYTES = 6;
const KEY_PREFIX = "ep_";

/** The commands. */
export const KEY_COMMANDS: readonly types.Command[] = [
  {
    usage: "key grant <workspace>",
    description: "Grant a key; it is shown once and kept nowhere.",
    options: [
      { name: "label", kind: "text", description: "What the key is for" },
    ],
    examples: ["key grant web-shop --label checkout"],
    run: grant,
  },
  {
    usage: "key withdraw <id>",
    description: "Withdraw a key and wait until every host refuses it.",
    options: [input.CHANGE_ID],
    examples: ["key withdraw k-1f09c2ab77d0"],
    run: withdraw,
  },
  {
    usage: "key list",
    description: "List the keys that are valid.",
    run: list,
  },
];

async function grant(context: types.Context): Promise<exitCode.ExitCode> {
  const workspace = input.nameOf(context.args[0], "workspace");
  const label = context.text("label") ?? "";
  const key = KEY_PREFIX + crypto.randomBytes(KEY_BYTES).toString("base64url");
  const digest = crypto.createHash("sha256").update(key).digest("hex");
  const keyId = `k-${crypto.randomBytes(KEY_ID_BYTES).toString("hex")}`;
  const changeId = crypto.randomUUID();
  const body = { changeId, keyId, digest, workspace, label };
  const request = { method: "POST", path: "/v1/keys", body } as const;
  const title = [
    `granted key ${keyId} to workspace ${workspace}`,
    key,
    "The key is not shown again.",
  ];
  const details = { id: keyId, workspace, label, key };
  return await changing.changeAndWait(context, request, title, details);
}

async function withdraw(context: types.Context): Promise<exitCode.ExitCode> {
  const id = input.nameOf(context.args[0], "key");
  const changeId = input.changeIdOf(context);
  const path = `/v1/keys/${id}?change_id=${changeId}`;
  const request = { method: "DELETE", path } as const;
  return await changing.changeAndWait(
    context,
    request,
    [`withdrew key ${id}`],
    { id },
  );
}

async function list(context: types.Context): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const { keys } = await client.read("/v1/keys", protocol.operators.Keys);
  const rows = keys.map(({ id, workspace, grantedMs, label }) => [
    id,
    workspace,
    output.renderTime(grantedMs),
    label,
  ]);
  const heading = ["id", "workspace", "granted", "label"];
  context.output.lines(...output.renderTable(heading, rows));
  context.output.result({ keys });
  return exitCode.OK;
}
