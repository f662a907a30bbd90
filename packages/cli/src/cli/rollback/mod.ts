/**
 * `ebonypath rollback`: publishes an earlier configuration as a new version.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import type * as exitCode from "../../exit_code.ts";
import * as input from "../input.ts";
import * as publishing from "../publishing.ts";
import type * as types from "../types.ts";

const { PublishedVersion } = protocol.operators;

/** The command. */
export const ROLLBACK: types.Command = {
  usage: "rollback <version>",
  description: "Publish an earlier version again, as a new version.",
  options: publishing.OPTIONS,
  examples: ["rollback 41", "rollback 41 --dry-run"],
  run,
};

async function run(context: types.Context): Promise<exitCode.ExitCode> {
  const version = input.wholeNumber(context.args[0] ?? "", "version");
  const client = await context.client();
  const path = `/v1/configuration/${version}`;
  const earlier = await client.read(path, PublishedVersion);
  const inForce = await client.read("/v1/configuration", PublishedVersion);
  return publishing.publish(context, client, inForce, earlier.configuration);
}
