/**
 * `ebonypath failure-domain`: takes failure domains out and brings them back.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as exitCode from "../../exit_code.ts";
import * as input from "../input.ts";
import * as changing from "../changing.ts";
import type * as types from "../types.ts";

/** The commands. */
export const FAILURE_DOMAIN_COMMANDS: readonly types.Command[] = [
  {
    usage: "failure-domain withdraw <name>",
    description: "Start no new work in a failure domain.",
    options: [input.CHANGE_ID],
    examples: ["failure-domain withdraw fd-2"],
    run: (context) => move(context, "withdraw", "withdrew"),
  },
  {
    usage: "failure-domain restore <name>",
    description: "Let a failure domain take new work again.",
    options: [input.CHANGE_ID],
    examples: ["failure-domain restore fd-2"],
    run: (context) => move(context, "restore", "restored"),
  },
  {
    usage: "failure-domain list",
    description: "List the failure domains that are withdrawn.",
    run: list,
  },
];

async function move(
  context: types.Context,
  action: "withdraw" | "restore",
  done: string,
): Promise<exitCode.ExitCode> {
  const name = input.nameOf(context.args[0], "failure domain");
  const body = { changeId: input.changeIdOf(context) };
  const path = `/v1/failure-domains/${name}/${action}`;
  const request = { method: "POST", path, body } as const;
  const title = [`${done} failure domain ${name}`];
  return await changing.changeAndWait(context, request, title, { name });
}

async function list(context: types.Context): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const { withdrawn } = await client.read(
    "/v1/failure-domains",
    protocol.operators.FailureDomains,
  );
  const lines = withdrawn.map((name) => `withdrawn: ${name}`);
  context.output.lines(...(lines.length > 0 ? lines : ["none is withdrawn"]));
  context.output.result({ withdrawn });
  return exitCode.OK;
}
