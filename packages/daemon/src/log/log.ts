import debug from "debug";
import process from "node:process";
import * as util from "node:util";
import * as format from "./format.ts";
import * as sinks from "./sink.ts";

const ROOT = "ebonypath";
const DEFAULT_NAMESPACES = `${ROOT}:*`;
const limit = new sinks.LineLimit();

/** Writes an event of one part of the daemon. */
export type Log = (event: string, fields?: format.Fields) => void;

/**
 * Gives the log of one part of the daemon, under `ebonypath:PART`.
 *
 * @example
 * ```ts
 * const log = createLog("feed");
 * log("connected", { peer: "127.0.0.1:7001" });
 * ```
 */
export function createLog(part: string): Log {
  const write = debug(`${ROOT}:${part}`);
  return (event, fields = {}) => {
    if (!write.enabled) return;
    const kind = `${part} ${event}`;
    const { isAdmitted, leftOut } = limit.admit(kind, performance.now());
    if (!isAdmitted) return;
    const more = leftOut === 0 ? {} : { left_out: leftOut };
    write("%s", format.formatLine(event, { ...fields, ...more }));
  };
}

/**
 * Turns the logs on, unless the variable `DEBUG` chooses which to write.
 *
 * @param sink where lines go; the standard error stream by default
 *
 * @example
 * ```ts
 * enableLogs();
 * ```
 */
export function enableLogs(sink?: sinks.LineSink): void {
  debug.formatArgs = formatArguments;
  if (sink !== undefined) {
    debug.log = (...args) => sink.write(util.format(...args));
  }
  if (process.env["DEBUG"] === undefined) debug.enable(DEFAULT_NAMESPACES);
}

/** Puts time and part in front as pairs, without colours. */
function formatArguments(this: debug.Debugger, args: unknown[]): void {
  const part = this.namespace.slice(ROOT.length + 1);
  const time = new Date().toISOString();
  args[0] = `time=${time} part=${part} ${String(args[0])}`;
}
