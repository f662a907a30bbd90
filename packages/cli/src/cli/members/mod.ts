/**
 * `ebonypath members`: the hosts that hold the replicated state.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as clients from "../../client/mod.ts";
import * as exitCode from "../../exit_code.ts";
import * as failure from "../../failure.ts";
import * as output from "../../output/mod.ts";
import * as input from "../input.ts";
import type * as types from "../types.ts";

/** Time for a new member to catch up, in milliseconds. */
const CHANGE_TIMEOUT_MS = 45_000;

const options = [input.CHANGE_ID];

/** The commands. */
export const MEMBERS_COMMANDS: readonly types.Command[] = [
  {
    usage: "members list",
    description: "List the members, and how many more may be lost.",
    run: status,
  },
  {
    usage: "members status",
    description: "The same as `members list`.",
    run: status,
  },
  {
    usage: "members add <address>",
    description: "Add a control host; it votes once it has caught up.",
    options,
    examples: ["members add 10.0.4.10:7001"],
    run: add,
  },
  {
    usage: "members remove <id>",
    description: "Remove a member for good.",
    options,
    run: remove,
  },
  {
    usage: "members replace <id> <address>",
    description: "Add a control host, and remove a member once it votes.",
    options,
    examples: ["members replace host-3-d0d9eb26dc54 10.0.4.10:7001"],
    run: replace,
  },
];

async function status(context: types.Context): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const answer = await client.read("/v1/members", protocol.operators.Members);
  const rows = answer.members.map((member) => [
    member.id,
    member.address,
    member.leads ? "leader" : member.role,
    answer.commitIndex - Math.min(member.matchIndex, answer.commitIndex),
    member.silentMs === null ? "-" : output.renderSeconds(member.silentMs),
  ]);
  const heading = ["id", "address", "role", "behind", "silent"];
  context.output.lines(
    ...output.renderTable(heading, rows),
    `${answer.mayLose} more may be lost before changes stop`,
  );
  context.output.result(answer);
  return exitCode.OK;
}

function add(context: types.Context): Promise<exitCode.ExitCode> {
  const address = input.addressOf(context.args[0]);
  const body = { changeId: input.changeIdOf(context), address };
  return change(context, "add", body, `added ${address}`);
}

function remove(context: types.Context): Promise<exitCode.ExitCode> {
  const id = memberId(context.args[0]);
  const body = { changeId: input.changeIdOf(context), id };
  return change(context, "remove", body, `removed ${id}`);
}

function replace(context: types.Context): Promise<exitCode.ExitCode> {
  const id = memberId(context.args[0]);
  const address = input.addressOf(context.args[1]);
  const body = { changeId: input.changeIdOf(context), id, address };
  return change(context, "replace", body, `replaced ${id} by ${address}`);
}

async function change(
  context: types.Context,
  action: "add" | "remove" | "replace",
  body: unknown,
  title: string,
): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const path = `/v1/members/${action}`;
  const request: clients.Request = {
    method: "POST",
    path,
    body,
    timeoutMs: CHANGE_TIMEOUT_MS,
  };
  const { index } = await client.change(request);
  context.output.lines(title);
  context.output.result({ index });
  return exitCode.OK;
}

function memberId(text: string | undefined): string {
  if (v.is(protocol.operators.MemberId, text)) return text;
  throw new failure.UsageError(
    `"${text ?? ""}" is not the id of a member`,
    "take the id from `ebonypath members list`",
  );
}
