/**
 * Choice among the backend servers that can run a request.
 *
 * @module
 */

import { rank } from "./rendezvous.ts";

/**
 * How far above the average load a server may be for a request to be sent there
 * for the prefix that it has cached.
 */
export const AFFINITY_LOAD_FACTOR = 1.25;

/** A backend server that can run the request now. */
export type Candidate = {
  readonly server: string;
  readonly failureDomain: string;
  /** Requests of this host that run there. */
  readonly inFlight: number;
  /** Requests that wait there, by the server's latest report. */
  readonly queued: number;
  /** Requests that it may run at once. */
  readonly limit: number;
};

/** What matters for the choice besides the candidates. */
export type SelectionInput = {
  readonly candidates: readonly Candidate[];
  /** Identifies the beginning of the prompt, if it may be cached. */
  readonly prefixKey?: string;
  /** Servers that reported to have the prefix cached. */
  readonly serversWithPrefix?: ReadonlySet<string>;
  /** Failure domains of earlier attempts, to be left if possible. */
  readonly triedDomains?: ReadonlySet<string>;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
};

/** Why a server was chosen. */
export type SelectionReason = "prefix" | "load";

/** A chosen server. */
export type ServerSelection = {
  readonly server: string;
  readonly reason: SelectionReason;
};

/**
 * Chooses a server: one that is likely to have the prefix cached, as long as
 * its load is near the average; else the less loaded of two that are drawn at
 * random from different failure domains. Many hosts that decide at once on
 * reports of the same age thus do not all choose the same server.
 *
 * @returns Nothing if there are no candidates.
 *
 * @example
 * ```ts
 * const choice = choose({ candidates, prefixKey, random: Math.random });
 * ```
 */
export function selectServer(
  input: SelectionInput,
): ServerSelection | undefined {
  const candidates = untriedFirst(input);
  const byPrefix = chooseByPrefix(input, candidates);
  if (byPrefix !== undefined) {
    return { server: byPrefix.server, reason: "prefix" };
  }
  const byLoad = chooseByLoad(candidates, input.random);
  return byLoad && { server: byLoad.server, reason: "load" };
}

/** Load of a server, as a part of what it can run at once. */
export function loadOf(candidate: Candidate): number {
  const { inFlight, queued, limit } = candidate;
  return (inFlight + queued) / Math.max(1, limit);
}

function untriedFirst(input: SelectionInput): readonly Candidate[] {
  const tried = input.triedDomains;
  if (tried === undefined || tried.size === 0) {
    return input.candidates;
  }
  const untried = input.candidates.filter(({ failureDomain }) =>
    !tried.has(failureDomain)
  );
  return untried.length > 0 ? untried : input.candidates;
}

/** Rendezvous hashing with bounded loads; servers with the prefix go first. */
function chooseByPrefix(
  input: SelectionInput,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const { prefixKey, serversWithPrefix: cachedAt } = input;
  if (prefixKey === undefined) {
    return undefined;
  }
  const bound = affinityBound(candidates);
  const ranked = rank(prefixKey, candidates, ({ server }) => server);
  const cached = ranked.filter(({ server }) => cachedAt?.has(server));
  return [...cached, ...ranked].find((candidate) =>
    loadWithOneMore(candidate) <= bound
  );
}

/** Allows for the request itself, so that idle servers are within the bound. */
function affinityBound(candidates: readonly Candidate[]): number {
  let requests = 1;
  let limit = 0;
  for (const candidate of candidates) {
    requests += candidate.inFlight + candidate.queued;
    limit += Math.max(1, candidate.limit);
  }
  const fair = requests / limit * AFFINITY_LOAD_FACTOR;
  const smallest = Math.min(...candidates.map(loadWithOneMore));
  return Math.max(fair, smallest);
}

function loadWithOneMore(candidate: Candidate): number {
  return loadOf({ ...candidate, inFlight: candidate.inFlight + 1 });
}

function chooseByLoad(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  const first = draw(candidates, random);
  if (first === undefined) {
    return undefined;
  }
  const others = candidates.filter((one) => one !== first);
  const elsewhere = others.filter(({ failureDomain }) =>
    failureDomain !== first.failureDomain
  );
  const second = draw(elsewhere.length > 0 ? elsewhere : others, random);
  return second !== undefined && loadOf(second) < loadOf(first)
    ? second
    : first;
}

function draw<Item>(
  items: readonly Item[],
  random: () => number,
): Item | undefined {
  return items[Math.floor(random() * items.length)];
}
