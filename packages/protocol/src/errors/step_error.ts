/** An error of a step between processes; carries the step and the peer. */
export class StepError extends Error {
  override readonly name: string = "StepError";
  /** What was being done, for instance `feed.connect`. */
  readonly step: string;
  /** The process at the other end: an id or an address. */
  readonly peer: string;

  constructor(step: string, peer: string, message: string, cause?: unknown) {
    super(`${step} ${peer}: ${message}`, { cause });
    this.step = step;
    this.peer = peer;
  }
}

/**
 * Marks a branch that no variant can reach.
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
