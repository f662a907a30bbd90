import type * as types from "./types.ts";

/** Base address of the `type` member of problem documents. */
const PROBLEM_TYPE_BASE = "urn:ebonypath:problem:";

/** Details of one occurrence of a refusal. */
export interface RefusalOptions {
  /** Overrides the outcome of the definition where more is known. */
  readonly outcome?: types.Outcome;
  /** When sending the request again may help, in seconds. */
  readonly retryAfterSeconds?: number;
  /** The step at which the refusal arose. */
  readonly step?: string;
  /** The process that the failing step talked to. */
  readonly peer?: string;
  readonly cause?: unknown;
}

/**
 * A truthful refusal of a request.
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
   * Renders the refusal as a problem document.
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
