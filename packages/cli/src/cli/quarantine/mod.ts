/**
 * `ebonypath quarantine`: requests that are not run because backend servers
 * crashed with them.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as exitCode from "../../exit_code.ts";
import * as failure from "../../failure.ts";
import * as output from "../../output/mod.ts";
import * as input from "../input.ts";
import * as changing from "../changing.ts";
import type * as types from "../types.ts";

const FINGERPRINT = /^[0-9a-f]{16,128}$/;

/** The commands. */
export const QUARANTINE_COMMANDS: readonly types.Command[] = [
  {
    usage: "quarantine list",
    description: "List the requests that are in quarantine.",
    run: list,
  },
  {
    usage: "quarantine release <fingerprint>",
    description: "Let a request run again.",
    options: [input.CHANGE_ID],
    run: release,
  },
];

async function list(context: types.Context): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const { quarantines } = await client.read(
    "/v1/quarantine",
    protocol.operators.Quarantines,
  );
  const rows = quarantines.map(({ fingerprint, workspace, model, untilMs }) => [
    fingerprint,
    workspace,
    model,
    output.renderTime(untilMs),
  ]);
  const heading = ["fingerprint", "workspace", "model", "until"];
  context.output.lines(...output.renderTable(heading, rows));
  context.output.result({ quarantines });
  return exitCode.OK;
}

function release(context: types.Context): Promise<exitCode.ExitCode> {
  const fingerprint = context.args[0] ?? "";
  if (!FINGERPRINT.test(fingerprint)) {
    throw new failure.UsageError(
      `"${fingerprint}" is not a fingerprint`,
      "take it from `ebonypath quarantine list`",
    );
  }
  const changeId = input.changeIdOf(context);
  const path = `/v1/quarantine/${fingerprint}?change_id=${changeId}`;
  const request = { method: "DELETE", path } as const;
  const title = [`released ${fingerprint}`];
  return changing.changeAndWait(context, request, title, { fingerprint });
}
