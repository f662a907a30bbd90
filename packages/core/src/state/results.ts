import * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Answer = protocol.state.StoredResponse;

/** The change was applied at a log index. */
export function done(index: number): CommandResult {
  return { kind: "done", index };
}

/** The command contradicts the state, or itself. */
export function invalid(reason: string): CommandResult {
  return { kind: "invalid", reason };
}

/** The target of the command doesn't exist, or belongs to another owner. */
export function notFound(reason: string): CommandResult {
  return { kind: "not-found", reason };
}

/** A limit of the state is reached; nothing was stored. */
export function full(reason: string): CommandResult {
  return { kind: "full", reason };
}

/** Wraps the result of a command that leaves the fleet view unchanged. */
export function withoutViewChanges(result: CommandResult): types.ApplyResult {
  return { result, changes: [] };
}

/** Builds the stored answer for an error of the system. */
export function errorAnswer(
  definition: protocol.errors.ProblemDefinition,
  detail: string,
): Answer {
  return refusalAnswer(new protocol.errors.Refusal(definition, detail));
}

/**
 * Converts a refusal to an answer that can be stored and replayed.
 *
 * @example
 * ```ts
 * refusalAnswer(refusal).outcome; // "not-run"
 * ```
 */
export function refusalAnswer(refusal: protocol.errors.Refusal): Answer {
  const problem = refusal.toProblem();
  return {
    status: problem.status,
    contentType: protocol.errors.PROBLEM_TYPE,
    body: JSON.stringify({
      ...problem,
      ...protocol.errors.callerExtensionMembers(refusal),
    }),
    outcome: problem.outcome,
    refused: true,
  };
}

/** Returns whether two owners are the same process. */
export function isSameOwner(a: types.Owner, b: types.Owner): boolean {
  return a.host === b.host && a.hostIncarnation === b.hostIncarnation;
}
