/**
 * `ebonypath publish`: publishes the service files below some folders.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import type * as exitCode from "../../exit_code.ts";
import * as files from "../../files/mod.ts";
import * as publishing from "../publishing.ts";
import type * as types from "../types.ts";

/** The command. */
export const PUBLISH: types.Command = {
  usage: "publish <dir>",
  description:
    "Publish the service files below one or more folders, and wait until they are in force.",
  isVariadic: true,
  options: publishing.OPTIONS,
  examples: ["publish services --dry-run", "publish services --base 41"],
  run,
};

async function run(context: types.Context): Promise<exitCode.ExitCode> {
  const { files: names, configuration } = await files.gather(context.args);
  const client = await context.client();
  const inForce = await client.read(
    "/v1/configuration",
    protocol.operators.PublishedVersion,
  );
  context.output.lines(...names);
  return publishing.publish(context, client, inForce, configuration);
}
