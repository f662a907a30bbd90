/**
 * Locks a folder and holds the lock until the process is killed.
 *
 * @module
 */
import process from "node:process";
import * as storage from "../../src/storage/mod.ts";

/** Time after which the process exits by itself; longer than any test. */
const MAX_HOLD_MS = 60_000;

const timer = setTimeout(() => process.exit(1), MAX_HOLD_MS);
try {
  await storage.lockFolder(process.argv[2] ?? "");
  process.stdout.write("held\n");
} catch (error) {
  process.stdout.write(`${(error as Error).name}\n`);
  clearTimeout(timer);
}
