/**
 * Exit codes of the command line.
 *
 * @module
 */

/** The command did what was asked. */
export const OK = 0;
/** The system refused; nothing was changed. */
export const REFUSED = 1;
/** The command line or a file is not valid; nothing was sent. */
export const USAGE = 2;
/** No server was reached, or the outcome is not known. */
export const UNKNOWN = 3;

/** How a command ended. */
export type ExitCode =
  | typeof OK
  | typeof REFUSED
  | typeof USAGE
  | typeof UNKNOWN;
