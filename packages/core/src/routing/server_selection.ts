/**
 * Load balancing between the backend servers that can run a request.
 *
 * @module
 */

import { rank } from "./rendezvous.ts";

/**
 * Maximum ratio of a server's load to the average load for a request to be sent
 * there because of a cached prefix.
 */
export const AFFINITY_LOAD_FACTOR = 1.25;

/** A backend server that can run the request now. */
export type Candidate = {
  readonly server: string;
  readonly failureDomain: string;
  /** Requests of this host that run on the server. */
  readonly inFlight: number;
  /** Requests waiting on the server, according to its latest report. */
  readonly queued: number;
  /** Concurrency limit of the server. */
  readonly limit: number;
};

/** Input of {@link selectServer}. */
export type SelectionInput = {
  readonly candidates: readonly Candidate[];
  /** Identifies the prefix of the prompt, if it may be cached. */
  readonly prefixKey?: string;
  /** Servers that have probably cached the prefix. */
  readonly serversWithPrefix?: ReadonlySet<string>;
  /** Failure domains of earlier attempts, which are avoided if possible. */
  readonly triedDomains?: ReadonlySet<string>;
  /** Random source, uniformly distributed in [0, 1). */
  readonly random: () => number;
};

/** Why a server was selected. */
export type SelectionReason = "prefix" | "load";

/** A selected server. */
export type ServerSelection = {
  readonly server: string;
  readonly reason: SelectionReason;
};

/**
 * Selects a server that has probably cached the prefix, as long as its load is
 * close to the average. Otherwise takes the less loaded of two servers drawn at
 * random, from different failure domains if possible. The random draw keeps
 * hosts that decide at the same time on equally old load reports from all
 * selecting the same server.
 *
 * @returns The selected server; undefined if there are no candidates.
 *
 * @example
 * ```ts
 * const choice = selectServer({ candidates, prefixKey, random: Math.random });
 * ```
 */
export function selectServer(
  input: SelectionInput,
): ServerSelection | undefined {
  const candidates = preferUntriedDomains(input);
  const byPrefix = selectByPrefix(input, candidates);
  if (byPrefix !== undefined) {
    return { server: byPrefix.server, reason: "prefix" };
  }
  const byLoad = selectByLoad(candidates, input.random);
  return byLoad && { server: byLoad.server, reason: "load" };
}

/** Running and waiting requests of a server relative to its limit. */
export function loadOf(candidate: Candidate): number {
  const { inFlight, queued, limit } = candidate;
  return (inFlight + queued) / Math.max(1, limit);
}

function preferUntriedDomains(input: SelectionInput): readonly Candidate[] {
  const tried = input.triedDomains;
  if (tried === undefined || tried.size === 0) {
    return input.candidates;
  }
  const untried = input.candidates.filter(({ failureDomain }) =>
    !tried.has(failureDomain)
  );
  return untried.length > 0 ? untried : input.candidates;
}

/**
 * Rendezvous hashing with bounded loads; servers that have cached the prefix
 * take precedence.
 */
function selectByPrefix(
  input: SelectionInput,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const { prefixKey, serversWithPrefix } = input;
  if (prefixKey === undefined) {
    return undefined;
  }
  const maxLoad = maxAffinityLoad(candidates);
  const ranked = rank(prefixKey, candidates, ({ server }) => server);
  const cached = ranked.filter(({ server }) => serversWithPrefix?.has(server));
  return [...cached, ...ranked].find((candidate) =>
    loadWithRequest(candidate) <= maxLoad
  );
}

/**
 * Highest load at which a server is selected by prefix. Includes the request
 * itself, so that idle servers qualify.
 */
function maxAffinityLoad(candidates: readonly Candidate[]): number {
  let requests = 1;
  let limit = 0;
  for (const candidate of candidates) {
    requests += candidate.inFlight + candidate.queued;
    limit += Math.max(1, candidate.limit);
  }
  const maxByAverage = requests / limit * AFFINITY_LOAD_FACTOR;
  const lowest = Math.min(...candidates.map(loadWithRequest));
  return Math.max(maxByAverage, lowest);
}

/** Load of a server after the request is added to it. */
function loadWithRequest(candidate: Candidate): number {
  return loadOf({ ...candidate, inFlight: candidate.inFlight + 1 });
}

function selectByLoad(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  const first = draw(candidates, random);
  if (first === undefined) {
    return undefined;
  }
  const others = candidates.filter((candidate) => candidate !== first);
  const inOtherDomains = others.filter(({ failureDomain }) =>
    failureDomain !== first.failureDomain
  );
  const second = draw(
    inOtherDomains.length > 0 ? inOtherDomains : others,
    random,
  );
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
