import type { gateway } from "@ebonypath/protocol";
import { SharedRateLimiter } from "./shared_rate_limiter.ts";
import type { RateTolerance } from "./tolerated_rate.ts";

/** Part of the burst that is left when a workspace counts as near its rate. */
const LIMITED_FRACTION = 0.5;
/** Part of the burst that is available when it no longer does. */
const UNLIMITED_FRACTION = 0.9;

/**
 * Workspaces whose usage over all hosts is near their rate. Entry hosts ask the
 * leader before they admit a request of these and tell it at once afterwards;
 * they admit those of the others by what they know. The two thresholds keep a
 * workspace from changing between the two with each request.
 *
 * @example
 * ```ts
 * const limited = new LimitedWorkspaces(now);
 * limited.setRates(workspaces, now);
 * limited.recordUsage("shop", 1_600, now);
 * if (limited.update(true, now)) tellHosts(limited.names);
 * ```
 */
export class LimitedWorkspaces {
  /** Counts what is used from now on, and what hosts know of before. */
  readonly #limiter: SharedRateLimiter;
  /** Counts the same, as if all had been used up before. */
  readonly #cautious: SharedRateLimiter;
  #workspaces: readonly gateway.Workspace[] = [];
  #names: ReadonlySet<string> = new Set();

  /**
   * @param beganAt monotonic time before which the usage is not known, in
   * milliseconds
   * @param tolerance how far usage may exceed the rates; not at all by default
   */
  constructor(beganAt: number, tolerance?: RateTolerance) {
    this.#limiter = new SharedRateLimiter(-Infinity, tolerance);
    this.#cautious = new SharedRateLimiter(beganAt, tolerance);
  }

  /** Names of the workspaces, as of the last update. */
  get names(): ReadonlySet<string> {
    return this.#names;
  }

  /** Sets the rates; does nothing if they are those set last. */
  setRates(workspaces: readonly gateway.Workspace[], now: number): void {
    if (workspaces === this.#workspaces) return;
    this.#workspaces = workspaces;
    this.#limiter.setRates(workspaces, now);
    this.#cautious.setRates(workspaces, now);
  }

  /** Records usage that a host has reported. */
  recordUsage(workspace: string, tokens: number, now: number): void {
    this.#limiter.charge(workspace, tokens, now);
    this.#cautious.charge(workspace, tokens, now);
  }

  /** Records what workspaces lack of their bursts, as a host knows it. */
  recordMissing(
    missing: readonly gateway.WorkspaceUsage[],
    now: number,
  ): void {
    this.#limiter.lowerLevels(missing, now);
  }

  /**
   * What workspaces lack of their bursts.
   *
   * @param isKnown whether the hosts have told what they know; otherwise all
   * bursts may have been used up
   */
  missing(isKnown: boolean, now: number): gateway.WorkspaceUsage[] {
    return (isKnown ? this.#limiter : this.#cautious).missing(now);
  }

  /**
   * Updates the names; returns whether they have changed.
   *
   * @param isSettled whether the hosts have told what they know; before that a
   * workspace may be nearer to its rate than it seems
   */
  update(isSettled: boolean, now: number): boolean {
    const names = this.#workspaces
      .filter(({ rate }) => rate !== undefined)
      .map(({ name }) => name)
      .filter((name) => {
        const threshold = isSettled && !this.#names.has(name)
          ? LIMITED_FRACTION
          : UNLIMITED_FRACTION;
        return this.#limiter.availableFraction(name, now) < threshold;
      });
    const isSame = names.length === this.#names.size &&
      names.every((name) => this.#names.has(name));
    if (isSame) return false;
    this.#names = new Set(names);
    return true;
  }
}
