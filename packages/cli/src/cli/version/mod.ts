/**
 * `ebonypath version`: the version of the command line.
 *
 * @module
 */
import * as exitCode from "../../exit_code.ts";
import * as software from "../../software.ts";
import type * as types from "../types.ts";

/** The command. */
export const VERSION: types.Command = {
  usage: "version",
  description: "Show the version of this program.",
  run,
};

function run(context: types.Context): Promise<exitCode.ExitCode> {
  context.output.lines(`ebonypath ${software.VERSION}`);
  context.output.result({ version: software.VERSION });
  return Promise.resolve(exitCode.OK);
}
