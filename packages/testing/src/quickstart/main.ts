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
/** Uses another folder, which must not exist yet. */
const FOLDER_FLAG = "--folder=";

const USAGE_EXIT_CODE = 2;

async function main(flags: readonly string[]): Promise<number> {
  const unknown = flags.find((flag) =>
    flag !== ONCE_FLAG && !flag.startsWith(FOLDER_FLAG)
  );
  if (unknown !== undefined) {
    console.error(
      `quickstart: unknown option ${unknown}; known: ${ONCE_FLAG}, ${FOLDER_FLAG}DIR`,
    );
    return USAGE_EXIT_CODE;
  }
  const interrupted = waitForInterrupt();
  const folder = await createFolder(flags);
  const print = new printer.Printer(process.stdout);
  await using installed = await installation.install(ROOT, folder, print);
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

async function createFolder(flags: readonly string[]): Promise<string> {
  const chosen = flags.find((flag) => flag.startsWith(FOLDER_FLAG));
  if (chosen === undefined) {
    await fs.rm(FOLDER, { recursive: true, force: true });
    await fs.mkdir(FOLDER);
    return FOLDER;
  }
  const folder = path.resolve(chosen.slice(FOLDER_FLAG.length));
  await fs.mkdir(folder);
  return folder;
}

function waitForInterrupt(): Promise<undefined> {
  return new Promise((resolve) => {
    process.once("SIGINT", () => resolve(undefined));
    process.once("SIGTERM", () => resolve(undefined));
  });
}

let exitCode = 1;
try {
  exitCode = await main(process.argv.slice(2));
} catch (error) {
  console.error(`\nquickstart failed: ${(error as Error).message}`);
}
// Waits of a tour that was interrupted would keep the process for a while.
process.exit(exitCode);
