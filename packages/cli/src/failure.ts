/**
 * Errors that end a command, with the exit code that they lead to.
 *
 * @module
 */
import type * as protocol from "@ebonypath/protocol";
import * as exitCode from "./exit_code.ts";

/** A reason for which a command did not succeed. */
export abstract class Failure extends Error {
  abstract readonly exitCode: exitCode.ExitCode;
  /** What the reader can do about it. */
  readonly hint: string;

  constructor(message: string, hint: string, cause?: unknown) {
    super(message, { cause });
    this.hint = hint;
  }
}

/** The command line is not valid. */
export class UsageError extends Failure {
  override readonly name = "UsageError";
  readonly exitCode = exitCode.USAGE;
}

/** The system refused the call. */
export class RefusedError extends Failure {
  override readonly name = "RefusedError";
  readonly exitCode = exitCode.REFUSED;
  readonly problem: protocol.operators.Problem;
  readonly server: string;

  constructor(problem: protocol.operators.Problem, server: string) {
    super(`${problem.title}: ${problem.detail}`, problem.hint);
    this.problem = problem;
    this.server = server;
  }
}

/** No server was reached; nothing was changed. */
export class UnreachableError extends Failure {
  override readonly name = "UnreachableError";
  readonly exitCode = exitCode.UNKNOWN;
}

/** The change may or may not have been made. */
export class OutcomeUnknownError extends Failure {
  override readonly name = "OutcomeUnknownError";
  readonly exitCode = exitCode.UNKNOWN;
}
