/**
 * What a refused caller may conclude about its request.
 *
 * - `not-run`: no part of the request was executed; sending it again is safe.
 * - `may-have-run`: the request may have been executed, wholly or in part.
 * - `ran`: the request was executed and its answer exists.
 */
export type Outcome = "not-run" | "may-have-run" | "ran";

/** One entry of the error catalogue. */
export interface ProblemDefinition {
  /** Stable identifier, used in `type` of a problem document. */
  readonly name: string;
  /** Short summary that does not change between occurrences. */
  readonly title: string;
  /** HTTP status code. */
  readonly status: number;
  /** What the caller may conclude, unless the refusal says otherwise. */
  readonly outcome: Outcome;
  /** What the reader can do about it. */
  readonly hint: string;
}

/** A problem document after RFC 9457 with the members Ebonypath adds. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: Outcome;
  readonly hint: string;
  /** The request that was refused. */
  readonly requestId?: string;
}
