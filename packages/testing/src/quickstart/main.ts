/**
 * `npm run quickstart`: a daemon, two fake backend servers and one request of
 * each kind, in one folder and without set-up.
 *
 * @module
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import process from "node:process";
import * as installation from "./installation.ts";
import * as printer from "./printer.ts";
import * as tour from "./tour.ts";

const ROOT = path.resolve(import.meta.dirname, "../../../../..");
const FOLDER = path.join(ROOT, ".quickstart");

/** Ends after the tour instead of waiting for Ctrl-C. */
const ONCE_FLAG = "--once";
const FLAGS: ReadonlySet<string> = new Set([ONCE_FLAG]);

const USAGE_EXIT_CODE = 2;

async function main(flags: readonly string[]): Promise<number> {
  const unknown = flags.find((flag) => !FLAGS.has(flag));
  if (unknown !== undefined) {
    console.error(`quickstart: unknown option ${unknown}; known: ${ONCE_FLAG}`);
    return USAGE_EXIT_CODE;
  }
  const interrupted = waitForInterrupt();
  await fs.rm(FOLDER, { recursive: true, force: true });
  await fs.mkdir(FOLDER);
  const print = new printer.Printer(process.stdout);
  await using installed = await installation.install(ROOT, FOLDER, print);
  const toured = tour.run(installed, print);
  // After Ctrl-C the tour fails by itself; its errors say nothing then.
  toured.catch(() => {});
  const key = await Promise.race([toured, interrupted]);
  if (key === undefined || flags.includes(ONCE_FLAG)) return 0;
  print.heading("Try it yourself; Ctrl-C ends everything");
  print.lines(...tour.commands(installed, key));
  await interrupted;
  print.heading("Stopping");
  return 0;
}

function waitForInterrupt(): Promise<undefined> {
  return new Promise((resolve) => {
    process.once("SIGINT", () => resolve(undefined));
    process.once("SIGTERM", () => resolve(undefined));
  });
}

try {
  process.exitCode = await main(process.argv.slice(2));
} catch (error) {
  console.error(`\nquickstart failed: ${(error as Error).message}`);
  process.exitCode = 1;
}
