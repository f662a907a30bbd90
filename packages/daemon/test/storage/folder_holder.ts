/**
 * A process that takes a folder and keeps it until it is killed.
 *
 * @module
 */
import process from "node:process";
import * as storage from "../../src/storage/mod.ts";

/** Longer than any test, in milliseconds. */
const KEPT_MS = 60_000;

const timer = setTimeout(() => process.exit(1), KEPT_MS);
try {
  await storage.lockFolder(process.argv[2] ?? "");
  process.stdout.write("held\n");
} catch (error) {
  process.stdout.write(`${(error as Error).name}\n`);
  clearTimeout(timer);
}
