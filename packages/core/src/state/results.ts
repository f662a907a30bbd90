import * as protocol from "@ebonypath/protocol";
import type * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Answer = protocol.state.StoredResponse;

/** The change is made. */
export function done(index: number): CommandResult {
  return { kind: "done", index };
}

/** The command contradicts the state or itself. */
export function invalid(reason: string): CommandResult {
  return { kind: "invalid", reason };
}

/** What the command names does not exist, or belongs to another owner. */
export function notFound(reason: string): CommandResult {
  return { kind: "not-found", reason };
}

/** A bound is reached. */
export function full(reason: string): CommandResult {
  return { kind: "full", reason };
}

/** Wraps a result that changes no view. */
export function quiet(result: CommandResult): types.ApplyResult {
  return { result, changes: [] };
}

/** Refuses in the form in which answers are stored. */
export function refusal(
  definition: protocol.errors.ProblemDefinition,
  detail: string,
): Answer {
  return refusalAnswer(new protocol.errors.Refusal(definition, detail));
}

/**
 * Renders a refusal as an answer that can be stored and replayed.
 *
 * @example
 * ```ts
 * refusalAnswer(refusal).outcome; // "not-run"
 * ```
 */
export function refusalAnswer(refused: protocol.errors.Refusal): Answer {
  const problem = refused.toProblem();
  return {
    status: problem.status,
    contentType: protocol.errors.PROBLEM_TYPE,
    body: JSON.stringify({
      ...problem,
      ...protocol.errors.callerExtensionMembers(refused),
    }),
    outcome: problem.outcome,
    refused: true,
  };
}

/** Whether two owners are the same process. */
export function sameOwner(a: types.Owner, b: types.Owner): boolean {
  return a.host === b.host && a.hostIncarnation === b.hostIncarnation;
}
