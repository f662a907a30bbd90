import type * as types from "./types.ts";

/** Prefix of the `type` member of problem documents. */
const PROBLEM_TYPE_BASE = "urn:ebonypath:problem:";

/** Details of a single refusal. */
export interface RefusalOptions {
  /** Overrides the default outcome of the definition. */
  readonly outcome?: types.Outcome;
  /** Time after which the caller may retry the request, in seconds. */
  readonly retryAfterSeconds?: number;
  /** Step that caused the refusal. */
  readonly step?: string;
  /** Remote process of the failed step. */
  readonly peer?: string;
  readonly cause?: unknown;
}

/**
 * Error for a refused request. It states what the caller may conclude about the
 * execution of the request.
 *
 * @example
 * ```ts
 * throw new errors.Refusal(errors.NO_CAPACITY, "all replicas are loading");
 * ```
 */
export class Refusal extends Error {
  override readonly name = "Refusal";
  readonly definition: types.ProblemDefinition;
  readonly outcome: types.Outcome;
  readonly retryAfterSeconds: number | undefined;
  readonly step: string | undefined;
  readonly peer: string | undefined;

  constructor(
    definition: types.ProblemDefinition,
    detail: string,
    options: RefusalOptions = {},
  ) {
    super(detail, { cause: options.cause });
    this.definition = definition;
    this.outcome = options.outcome ?? definition.outcome;
    this.retryAfterSeconds = options.retryAfterSeconds;
    this.step = options.step;
    this.peer = options.peer;
  }

  /**
   * Converts the refusal to a problem document.
   *
   * @example
   * ```ts
   * response.end(JSON.stringify(refusal.toProblem(requestId)));
   * ```
   */
  toProblem(requestId?: string): types.Problem {
    return {
      type: PROBLEM_TYPE_BASE + this.definition.name,
      title: this.definition.title,
      status: this.definition.status,
      detail: this.message,
      outcome: this.outcome,
      hint: this.definition.hint,
      ...(requestId === undefined ? {} : { requestId }),
    };
  }
}
