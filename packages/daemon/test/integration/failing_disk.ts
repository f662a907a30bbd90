/**
 * Loaded into a daemon before it starts: makes its disk fail on demand.
 *
 * While the file beside the settings, `NAME.toml.fault`, stands, each write or
 * each sync fails with the error code that it holds.
 *
 * @module
 */
import * as fs from "node:fs";
import * as files from "node:fs/promises";
import process from "node:process";

type Operation = (...args: unknown[]) => Promise<unknown>;
type Handle = Record<"write" | "datasync", Operation>;

const settingsFile = process.argv[process.argv.indexOf("--settings") + 1];
const switchFile = `${settingsFile}.fault`;

/** Which operation fails with which code. */
const OPERATIONS = { ENOSPC: "write", EIO: "datasync" } as const;

function fault(): string {
  return fs.existsSync(switchFile) ? fs.readFileSync(switchFile, "utf8") : "";
}

/** All open files share the methods of one prototype. */
async function prototype(): Promise<Handle> {
  await using handle = await files.open(process.execPath);
  return Object.getPrototypeOf(handle) as Handle;
}

const shared = await prototype();
for (const [code, operation] of Object.entries(OPERATIONS)) {
  const original = shared[operation];
  shared[operation] = function (this: unknown, ...args) {
    if (fault() !== code) return original.apply(this, args);
    const error = new Error(`${code}: injected, ${operation}`);
    return Promise.reject(Object.assign(error, { code }));
  };
}
