import type { gateway } from "@ebonypath/protocol";

/** A rate's window and tolerance as the platform's operators state them. */
const WINDOW_MS = 8_000;
const TOLERATED_FRACTION = 0.1;
const TOLERATED_TOKENS = 11_000;
const SECOND_MS = 1_000;

/** Tokens of each request of a simulated workspace. */
export const REQUEST_TOKENS = 1_500;

export type SimulatedRequest = {
  /** Time in milliseconds. */
  readonly at: number;
  readonly isAdmitted: boolean;
};

/** Most tokens that a rate allows in a window. */
export function allowedTokens(
  { burst, perSecond }: Pick<gateway.RateLimit, "burst" | "perSecond">,
): number {
  return (perSecond * WINDOW_MS / SECOND_MS + burst) *
      (1 + TOLERATED_FRACTION) + TOLERATED_TOKENS;
}

/** Most tokens that were admitted within one window. */
export function busiestWindow(requests: readonly SimulatedRequest[]): number {
  const admitted = requests.filter(({ isAdmitted }) => isAdmitted);
  let first = 0;
  return admitted.reduce((most, { at }, last) => {
    while ((admitted[first]?.at ?? at) < at - WINDOW_MS) first += 1;
    return Math.max(most, (last - first + 1) * REQUEST_TOKENS);
  }, 0);
}
