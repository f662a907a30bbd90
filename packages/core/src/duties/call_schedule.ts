import { errors } from "@ebonypath/protocol";

/** Wait after the first call that was not accepted, in milliseconds. */
const MIN_BACKOFF_MS = 250;
/**
 * Longest wait, in milliseconds: a report is due some seconds after its window,
 * and a party that is back should get it within that time.
 */
const MAX_BACKOFF_MS = 2_000;
/** Longest wait for a call that was refused for its content, in ms. */
const MAX_REFUSED_BACKOFF_MS = 60_000;
/**
 * Part of the allowed rate that one holder uses. The calls of its predecessor
 * and those that were given up may still count.
 */
const RATE_FRACTION = 0.5;
const SECOND_MS = 1_000;

/** What became of a call. */
export type CallOutcome =
  | { readonly kind: "accepted" }
  /** Too many calls, a failure of the other side, or no answer. */
  | { readonly kind: "unavailable" }
  /** The other side won't take this call; others may be accepted. */
  | { readonly kind: "refused" };

type Refusal = { readonly count: number; readonly notBefore: number };

/**
 * Decides when the calls of a host's duties are made: within the rate of the
 * other side, one at a time, with growing waits while it accepts none. A call
 * that is refused for its content doesn't hold up others.
 *
 * @example
 * ```ts
 * const key = schedule.next(["usage 7"], performance.now());
 * schedule.record("usage 7", { kind: "accepted" }, performance.now());
 * ```
 */
export class CallSchedule {
  readonly #intervalMs: number;
  readonly #refusals = new Map<string, Refusal>();
  #notBefore = -Infinity;
  #failures = 0;

  /** @param callsPerSecond allowed over all duties; 0 means no limit */
  constructor(callsPerSecond: number) {
    this.#intervalMs = callsPerSecond > 0
      ? SECOND_MS / (callsPerSecond * RATE_FRACTION)
      : 0;
  }

  /** Calls in a row that were not accepted for reasons of the other side. */
  get failures(): number {
    return this.#failures;
  }

  /** The first of the calls that may be made now. */
  next(keys: readonly string[], now: number): string | undefined {
    if (now < this.#notBefore) return undefined;
    const pending = new Set(keys);
    for (const key of [...this.#refusals.keys()]) {
      if (!pending.has(key)) this.#refusals.delete(key);
    }
    return keys.find((key) =>
      now >= (this.#refusals.get(key)?.notBefore ?? -Infinity)
    );
  }

  /** Records what became of a call, at the end of it. */
  record(key: string, outcome: CallOutcome, now: number): void {
    switch (outcome.kind) {
      case "accepted":
        this.#failures = 0;
        this.#refusals.delete(key);
        this.#notBefore = now + this.#intervalMs;
        return;
      case "unavailable":
        this.#failures += 1;
        this.#notBefore = now + Math.max(
          this.#intervalMs,
          backoffMs(this.#failures, MAX_BACKOFF_MS),
        );
        return;
      case "refused": {
        this.#failures = 0;
        this.#notBefore = now + this.#intervalMs;
        const count = (this.#refusals.get(key)?.count ?? 0) + 1;
        const notBefore = now + backoffMs(count, MAX_REFUSED_BACKOFF_MS);
        this.#refusals.set(key, { count, notBefore });
        return;
      }
      default:
        errors.assertNever(outcome);
    }
  }
}

function backoffMs(failures: number, longestMs: number): number {
  return Math.min(longestMs, MIN_BACKOFF_MS * 2 ** (failures - 1));
}
