import debug from "debug";
import process from "node:process";
import * as util from "node:util";
import * as format from "./format.ts";
import * as sinks from "./sink.ts";

const ROOT = "ebonypath";
const DEFAULT_NAMESPACES = `${ROOT}:*`;
const lineLimit = new sinks.LineLimit();

/** Logs an event of one part of the daemon. */
export type Log = (event: string, fields?: format.Fields) => void;

/**
 * Creates the log of one part of the daemon, in the `debug` namespace
 * `ebonypath:PART`.
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
    const eventKey = `${part} ${event}`;
    const { isAdmitted, leftOut } = lineLimit.admit(
      eventKey,
      performance.now(),
    );
    if (!isAdmitted) return;
    const omission = leftOut === 0 ? {} : { left_out: leftOut };
    write("%s", format.formatLine(event, { ...fields, ...omission }));
  };
}

/**
 * Enables all logs, unless the environment variable `DEBUG` selects some of
 * them.
 *
 * @param sink destination of the lines; standard error by default
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

/** Prefixes a line with time and part as key=value pairs, without colors. */
function formatArguments(this: debug.Debugger, args: unknown[]): void {
  const part = this.namespace.slice(ROOT.length + 1);
  const time = new Date().toISOString();
  args[0] = `time=${time} part=${part} ${String(args[0])}`;
}
