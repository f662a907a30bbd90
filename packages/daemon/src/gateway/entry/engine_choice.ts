/**
 * Chooses among servers of models, and orders the requests that wait for them.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as fleetView from "./fleet_view.ts";
import type * as returningCallers from "./returning_callers.ts";
import type * as serverTracker from "./server_tracker.ts";
import * as serverTokens from "./server_tokens.ts";
import type * as types from "./types.ts";

/** Dependencies of an `EngineChoice`. */
export interface EngineChoiceOptions {
  readonly view: fleetView.FleetView;
  readonly tracker: serverTracker.ServerTracker;
  readonly callers: Pick<returningCallers.ReturningCallers, "isReturning">;
  /** Failure domain of this host; absent if all servers are as near. */
  readonly failureDomain: string | undefined;
}

/** A server that may take a request, as its selector knows it. */
export type EngineCandidate = {
  readonly record: gateway.ServerRecord;
  /** Requests in flight per slot. */
  readonly utilization: number;
};

/** What is chosen for a request. */
export type EngineSelection<Candidate> =
  | { readonly kind: "server"; readonly candidate: Candidate }
  /** The request waits although a server has room. */
  | { readonly kind: "hold" }
  | { readonly kind: "none" };

/** Applies the choice of a server and the order of the queue to this host. */
export class EngineChoice {
  readonly #options: EngineChoiceOptions;
  #configuration: gateway.Configuration | null = null;
  /** Shortest latency objective of a service's routes, in ms, by service. */
  #shortestObjectives = new Map<string, number>();
  /** Requests that wait although a server has room. */
  readonly #held = new Set<types.RequestContext>();

  constructor(options: EngineChoiceOptions) {
    this.#options = options;
  }

  /** Number of requests that wait although a server has room. */
  get heldCount(): number {
    return this.#held.size;
  }

  isHeld(context: types.RequestContext): boolean {
    return this.#held.has(context);
  }

  /** Forgets a request that no longer waits. */
  forget(context: types.RequestContext): void {
    this.#held.delete(context);
  }

  /**
   * Whether a request may use the slots that are kept for callers that come
   * back. One that can wait leaves them until its latest start.
   */
  mayUseKeptRoom(context: types.RequestContext, now: number): boolean {
    const { callers, tracker } = this.#options;
    const isPlain = context.service.engine === undefined;
    if (isPlain || callers.isReturning(context)) return true;
    const { unreadTokens } = serverTokens.tokensOf(context);
    // Room is kept on servers that are nearly full.
    const expectedMs = tracker.tokens.estimateOf(context.service.name)
      .expectedMs({ tokens: unreadTokens, utilization: 1 });
    const latestAt = context.arrivedAt + objectiveMs(context);
    return latestAt - now <= 2 * expectedMs;
  }

  /** Whether a server has memory for a request; an idle one does. */
  hasMemory(
    server: string,
    context: types.RequestContext,
    now: number,
  ): boolean {
    const { memoryTokens } = context.service.engine ?? {};
    if (memoryTokens === undefined) return true;
    const { tokens } = this.#options.tracker;
    const reserved = tokens.reservedTokens(server, now);
    const { reservedTokens } = serverTokens.tokensOf(context);
    return reserved === 0 || reserved + reservedTokens <= memoryTokens;
  }

  /** Chooses one of the servers that have room for a request. */
  choose<Candidate extends EngineCandidate>(
    context: types.RequestContext,
    candidates: readonly Candidate[],
    now: number,
  ): EngineSelection<Candidate> {
    this.#held.delete(context);
    const { failureDomain, tracker: { tokens } } = this.#options;
    const { metadata, service } = context;
    const estimate = tokens.estimateOf(service.name);
    const offers = candidates.map((candidate) => {
      const { record: { id, failureDomain: domain }, utilization } = candidate;
      return {
        id,
        candidate,
        utilization,
        aheadTokens: tokens.aheadTokens(id, service.name, now),
        pace: tokens.paceOf(id, now),
        isFar: failureDomain !== undefined && domain !== failureDomain,
      };
    });
    const request = {
      key: metadata.prefixKey,
      promptTokens: metadata.promptTokens ?? 0,
      sharedTokens: metadata.sharedTokens ?? 0,
      objectiveMs: objectiveMs(context),
    };
    const offer = core.gateway.chooseServer(
      offers,
      request,
      estimate,
      Math.random,
    );
    if (offer === undefined) return { kind: "none" };
    const shortestObjectiveMs = this.#shortestObjectiveMs(service.name);
    const waitedMs = now - context.arrivedAt;
    const input = { offer, request, shortestObjectiveMs, waitedMs };
    if (!core.gateway.shouldHold(input, estimate)) {
      return { kind: "server", candidate: offer.candidate };
    }
    this.#held.add(context);
    return { kind: "hold" };
  }

  /** What the order of the queue goes by. */
  describe(context: types.RequestContext): core.gateway.UnservedRequest {
    const { arrivedAt, priority, queueDeadline, service } = context;
    const estimate = this.#options.tracker.tokens.estimateOf(service.name);
    const { unreadTokens } = serverTokens.tokensOf(context);
    const reading = { tokens: unreadTokens, utilization: 0 };
    return {
      arrivedAt,
      priority,
      isReturning: this.#options.callers.isReturning(context),
      queueDeadline,
      objectiveMs: objectiveMs(context),
      expectedMs: estimate.expectedMs(reading),
    };
  }

  #shortestObjectiveMs(service: string): number {
    const { configuration } = this.#options.view;
    if (configuration !== this.#configuration) {
      this.#configuration = configuration;
      this.#shortestObjectives = shortestObjectives(configuration);
    }
    return this.#shortestObjectives.get(service) ?? Infinity;
  }
}

/** Objective of the first event, in ms; no longer than the request waits. */
function objectiveMs(
  { arrivedAt, queueDeadline, route }: types.RequestContext,
): number {
  return Math.max(0, Math.min(route.targetMs, queueDeadline - arrivedAt));
}

function shortestObjectives(
  configuration: gateway.Configuration | null,
): Map<string, number> {
  const shortest = new Map<string, number>();
  for (const { split, targetMs } of configuration?.routes ?? []) {
    for (const { service } of split) {
      const known = shortest.get(service) ?? Infinity;
      shortest.set(service, Math.min(known, targetMs));
    }
  }
  return shortest;
}
