/** Error of an operation, with the failed step and the other party involved. */
export class StepError extends Error {
  override readonly name: string = "StepError";
  /** Name of the failed step, e.g. `feed.connect`. */
  readonly step: string;
  /** ID or address of the other party. */
  readonly peer: string;

  constructor(step: string, peer: string, message: string, cause?: unknown) {
    super(`${step} ${peer}: ${message}`, { cause });
    this.step = step;
    this.peer = peer;
  }
}

/**
 * Makes the compiler check that a `switch` handles all variants.
 * Throws if an unknown variant occurs at run time.
 *
 * @example
 * ```ts
 * switch (event.kind) {
 *   case "heartbeat": return;
 *   default: assertNever(event);
 * }
 * ```
 */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected variant ${JSON.stringify(value)}`);
}
