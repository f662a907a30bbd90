/**
 * Tells a caller whether its refused request was executed.
 *
 * - `not-run`: no part of the request was executed; it is safe to retry.
 * - `may-have-run`: the request may have been executed in full or in part.
 * - `ran`: the request was executed and produced a response.
 */
export type Outcome = "not-run" | "may-have-run" | "ran";

/** An entry of the error catalogue. */
export interface ProblemDefinition {
  /** Stable identifier, used in the `type` of problem documents. */
  readonly name: string;
  /** Short summary, the same for every occurrence. */
  readonly title: string;
  /** HTTP status code. */
  readonly status: number;
  /** Default outcome, which a refusal can override. */
  readonly outcome: Outcome;
  /** Suggested action. */
  readonly hint: string;
}

/** A problem document (RFC 9457) with the extension members of Ebonypath. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: Outcome;
  readonly hint: string;
  /** ID of the refused request. */
  readonly requestId?: string;
}
