#!/usr/bin/env node
/**
 * `ebonypathd`: one host of an Ebonypath fleet.
 *
 * @module
 */
import process from "node:process";
import * as v8 from "node:v8";
import * as protocol from "@ebonypath/protocol";
import sade from "sade";
import * as daemon from "./daemon/mod.ts";
import * as log from "./log/mod.ts";
import * as settings from "./settings/mod.ts";
import * as storage from "./storage/mod.ts";

/** Exit code for unusable settings or a data folder in use. */
const USAGE_EXIT_CODE = 2;
/** Exit code for a fault while running. */
const FAILURE_EXIT_CODE = 1;

const write = log.createLog("main");

// With several threads each collection of young objects waits for the slowest,
// which may have lost its core to another process: pauses grew from 15 to more
// than 100 ms. One thread is enough for what a host keeps.
v8.setFlagsFromString("--no-parallel-scavenge");

interface Options {
  readonly settings?: string;
  readonly check?: boolean;
}

sade("ebonypathd", true)
  .describe("Runs one host of an Ebonypath fleet.")
  .option("--settings", "Settings file of the host, in TOML")
  .option("--check", "Check the settings and exit")
  .example("--settings /etc/ebonypath/host.toml")
  .example("--settings /etc/ebonypath/host.toml --check")
  .action((options: Options) => {
    main(options).catch(fail);
  })
  .parse(process.argv);

async function main(options: Options): Promise<void> {
  if (typeof options.settings !== "string") {
    process.stderr.write("ebonypathd: name a settings file with --settings\n");
    process.exit(USAGE_EXIT_CODE);
  }
  const file = options.settings;
  log.enableLogs();
  const loaded = await settings.loadSettings(file);
  if (options.check === true) {
    process.stdout.write(`${file}: valid\n`);
    return;
  }
  const running = await daemon.Daemon.start(loaded, fail);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    shutDown(running).catch(fail);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", () => void reload(running, file));
}

/** Reads the certificates again; the old ones stay where that fails. */
async function reload(running: daemon.Daemon, file: string): Promise<void> {
  try {
    const { certificates } = await settings.loadSettings(file);
    running.reloadCertificates(certificates);
  } catch (error) {
    write("not-reloaded", { error });
  }
}

async function shutDown(running: daemon.Daemon): Promise<void> {
  await running.drain();
  await running[Symbol.asyncDispose]();
  write("stopped");
  process.exit(0);
}

function fail(error: unknown): void {
  if (error instanceof protocol.settings.SettingsError) {
    process.stderr.write(`${error.message}\n`);
    process.exit(USAGE_EXIT_CODE);
  }
  if (error instanceof storage.FolderInUse) {
    process.stderr.write(`ebonypathd: ${error.message}\n`);
    process.exit(USAGE_EXIT_CODE);
  }
  write("failed", { error });
  process.stderr.write(`ebonypathd: ${String(error)}\n`);
  process.exit(FAILURE_EXIT_CODE);
}
