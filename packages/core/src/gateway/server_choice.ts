import { highest } from "../routing/rendezvous.ts";
import type { ReadingEstimate } from "./reading_estimate.ts";

/**
 * Part of a request's latency objective that a server of the own failure domain
 * may be later by before one of another domain gets the request.
 */
const FAR_FRACTION = 1 / 8;
/**
 * Part of the objective within which a server of the own failure domain is
 * expected to answer if no other domain's is considered. The rest is for what the
 * estimate leaves out.
 */
const NEAR_FRACTION = 1 / 3;
/**
 * Part of the service's shortest objective for which a server may have prompts
 * to read before a patient request waits for its turn.
 */
const BUDGET_FRACTION = 1 / 4;
/** Part of its own objective up to which a patient request waits so. */
const MAX_HOLD_FRACTION = 1 / 4;

/** A server of models that may take a request. */
export type ServerOffer = {
  readonly id: string;
  /** Requests in flight per slot. */
  readonly utilization: number;
  /** Prompt tokens that it has yet to read for others. */
  readonly aheadTokens: number;
  /** Time that it takes relative to the usual one. */
  readonly pace: number;
  /** Whether it is in another failure domain than this host. */
  readonly isFar: boolean;
};

/** What matters of a request for the choice of its server. */
export type ChoiceRequest = {
  /** Shared parts of its prompt; undefined if it shares none. */
  readonly key: string | undefined;
  readonly promptTokens: number;
  /** Tokens of the shared parts. */
  readonly sharedTokens: number;
  /** Latency objective of its first event, in milliseconds. */
  readonly objectiveMs: number;
};

/**
 * Chooses the better of two servers, by the expected time to the first event and
 * a part of the objective if it lies in another failure domain. One of the two is
 * the server that has probably read the shared parts of the prompt, the same at
 * all hosts by rendezvous hashing; the others are drawn at random, faster ones
 * more often.
 *
 * Answers servers of different speed, prompts of different size, and many hosts
 * with the same outdated view: the best of all servers by such a view would get
 * the requests of all hosts until they hear of it.
 *
 * @param random uniform in [0, 1)
 *
 * @example
 * ```ts
 * chooseServer(offers, request, estimate, Math.random)?.id;
 * ```
 */
export function chooseServer<Offer extends ServerOffer>(
  offers: readonly Offer[],
  request: ChoiceRequest,
  estimate: ReadingEstimate,
  random: () => number,
): Offer | undefined {
  if (offers.length <= 1) return offers[0];
  const { key, objectiveMs, promptTokens, sharedTokens } = request;
  const costOf = (offer: Offer, isReader: boolean): number => {
    const { aheadTokens, isFar, pace, utilization } = offer;
    const ownTokens = promptTokens - (isReader ? sharedTokens : 0);
    const tokens = aheadTokens + Math.max(0, ownTokens);
    const farMs = isFar ? FAR_FRACTION * objectiveMs : 0;
    return pace * estimate.expectedMs({ tokens, utilization }) + farMs;
  };
  // Far servers are candidates once no near one is expected to be on time.
  const near = offers.filter((offer) =>
    !offer.isFar && costOf(offer, false) <= NEAR_FRACTION * objectiveMs
  );
  const candidates = near.length > 0 ? near : offers;
  const reader = key === undefined
    ? undefined
    : highest(key, candidates, ({ id }) => id);
  const one = reader ?? draw(candidates, random);
  const other = draw(candidates, random);
  const isOneBetter =
    costOf(one, one === reader) <= costOf(other, other === reader);
  return isOneBetter ? one : other;
}

/** Draws a server with a probability that grows with its speed. */
function draw<Offer extends ServerOffer>(
  offers: readonly Offer[],
  random: () => number,
): Offer {
  const total = offers.reduce((sum, { pace }) => sum + 1 / pace, 0);
  let rest = random() * total;
  for (const offer of offers) {
    rest -= 1 / offer.pace;
    if (rest < 0) return offer;
  }
  return offers[offers.length - 1] as Offer;
}

/** A patient request and the best server for it now. */
export type HoldInput = {
  readonly offer: ServerOffer;
  readonly request: ChoiceRequest;
  /** Shortest latency objective of the service's routes, in milliseconds. */
  readonly shortestObjectiveMs: number;
  /** Time since its arrival, in milliseconds. */
  readonly waitedMs: number;
};

/**
 * Whether a request should wait although a server has room: the server has yet
 * to read prompts that use up the budget that keeps requests of the shortest
 * objective on time, and this one's objective leaves it time. A request waits so
 * for a quarter of its objective at most, and never where nothing is before it.
 *
 * Answers long prompts of patient requests, which would otherwise be read beside
 * those of urgent ones, and delay their first events.
 */
export function shouldHold(
  { offer, request, shortestObjectiveMs, waitedMs }: HoldInput,
  estimate: ReadingEstimate,
): boolean {
  const { objectiveMs, promptTokens } = request;
  const { aheadTokens, pace } = offer;
  if (objectiveMs <= shortestObjectiveMs || aheadTokens === 0) return false;
  if (waitedMs >= MAX_HOLD_FRACTION * objectiveMs) return false;
  const readMs = pace * estimate.msPerToken * (aheadTokens + promptTokens);
  return readMs > BUDGET_FRACTION * shortestObjectiveMs;
}
