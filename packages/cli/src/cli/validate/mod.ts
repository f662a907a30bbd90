/**
 * `ebonypath validate`: checks service files without a server.
 *
 * @module
 */
import * as exitCode from "../../exit_code.ts";
import * as files from "../../files/mod.ts";
import type * as types from "../types.ts";

/** The command. */
export const VALIDATE: types.Command = {
  usage: "validate <dir>",
  description: "Check the service files below one or more folders.",
  isVariadic: true,
  examples: ["validate services"],
  run,
};

async function run(context: types.Context): Promise<exitCode.ExitCode> {
  const gathered = await files.gather(context.args);
  const { workspaces, services } = gathered.configuration;
  const models = services.flatMap((service) => service.models);
  const counts = {
    files: gathered.files.length,
    workspaces: workspaces.length,
    services: services.length,
    models: models.length,
    adapters: models.flatMap((model) => model.adapters).length,
    routes: services.flatMap((service) => service.routes).length,
  };
  const text = Object.entries(counts)
    .map(([name, count]) => `${count} ${name}`).join(", ");
  context.output.lines(...gathered.files, `valid: ${text}`);
  context.output.result({ files: gathered.files, counts });
  return exitCode.OK;
}
