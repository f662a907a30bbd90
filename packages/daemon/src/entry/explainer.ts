/**
 * Answers operators' questions about where a request would go now. Nothing is
 * sent, reserved or queued for it.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import type * as admission from "./admission.ts";
import type * as placement from "./placement.ts";
import * as resolve from "./resolve.ts";
import type * as types from "./types.ts";
import * as waitRefusals from "./wait_refusals.ts";

/** Dependencies of {@link Explainer}. */
export interface ExplainerOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly state: Pick<host.FleetState, "isCurrent" | "servers" | "view">;
  readonly shares: Pick<
    core.limits.HostShares,
    "availableSlots" | "availableTokens" | "runningOn" | "tokenShare"
  >;
  readonly admission: Pick<admission.Admission, "waitingTokens">;
  readonly placement: Pick<
    placement.PlacementQueue,
    "dispatchDeadline" | "expectedWaitMs" | "outliers"
  >;
  /** The monotonic clock, in milliseconds. */
  now?(): number;
}

/**
 * Explains what this host would do with a request.
 *
 * @example
 * ```ts
 * const explainer = new Explainer(options);
 * explainer.explain({ target: "advice/last", key: "k-1" }).forecast;
 * ```
 */
export class Explainer {
  readonly #options: ExplainerOptions;
  readonly #now: () => number;

  constructor(options: ExplainerOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Explains a request.
   *
   * @throws {protocol.errors.Refusal} there is no such key, model, route or tier
   */
  explain(
    question: protocol.operators.Question,
  ): protocol.operators.Explanation {
    const now = this.#now();
    const { identity, placement, state } = this.#options;
    const { view } = state;
    const requestId = "explanation";
    const work = resolve.resolveQuestion(question, { requestId, view, now });
    const outlooks = this.#outlooks(work, now);
    const rate = this.#rateOutlook(work, now);
    const latestStartMs = placement.dispatchDeadline(work, now) - now;
    const forecast = core.routing.forecastStart({
      isCurrent: state.isCurrent(now),
      tokens: work.tokens,
      rate,
      servers: outlooks,
      queueWaitMs: placement.expectedWaitMs(work),
      latestStartMs,
    });
    return {
      host: identity,
      version: view.version,
      target: work.target,
      workspace: work.workspace,
      tier: work.tier,
      tokens: work.tokens,
      rate: rate ?? null,
      latestStartMs,
      candidates: outlooks.map((outlook) => this.#candidate(outlook)),
      forecast: renderForecast(forecast),
    };
  }

  /** Servers of the request's service, whether they may run it or not. */
  #outlooks(work: types.Work, now: number): core.routing.ServerOutlook[] {
    const { placement, shares, state } = this.#options;
    const servers = [...state.servers.values()]
      .filter((server) => isOfKindFor(server, work.target));
    const items = servers.map(({ id: server }) => ({ server }));
    const accepted = new Set(
      placement.outliers.withoutEjected(items, now)
        .map(({ server }) => server),
    );
    return servers.map((server) => ({
      server: server.id,
      failureDomain: server.failureDomain,
      isUsable: server.usable,
      isInWithdrawnDomain: state.view.isFailureDomainWithdrawn(
        server.failureDomain,
      ),
      model: modelStateAt(server, work.target),
      isEjected: !accepted.has(server.id),
      freeSlots: shares.availableSlots(
        protocol.control.slotPoolName(server),
        now,
      ),
    }));
  }

  #candidate(
    outlook: core.routing.ServerOutlook,
  ): protocol.operators.Candidate {
    const { shares, state } = this.#options;
    const { failureDomain, freeSlots, server } = outlook;
    const status = state.servers.get(server);
    const running = status === undefined
      ? 0
      : shares.runningOn(protocol.control.slotPoolName(status));
    const obstacles = core.routing.obstaclesOf(outlook);
    return { server, failureDomain, freeSlots, running, obstacles };
  }

  /** A request without tokens, or on an open route, is under no rate. */
  #rateOutlook(
    { tokens, workspace }: types.Work,
    now: number,
  ): protocol.operators.RateOutlook | undefined {
    if (workspace === null || tokens === 0) return undefined;
    const { admission, shares, state } = this.#options;
    return {
      availableTokens: shares.availableTokens(workspace, now),
      tokensPerSecond: shares.tokenShare(workspace, now).rate,
      tokensAhead: admission.waitingTokens(workspace),
      burst: state.view.catalogue.workspace(workspace)?.burst ?? 0,
    };
  }
}

/** Any engine can load any model. */
function isOfKindFor(
  { kind, services }: protocol.control.ServerStatus,
  target: string,
): boolean {
  return target.includes("/")
    ? kind === "engine"
    : kind === "plain" && services.includes(target);
}

function modelStateAt(
  server: protocol.control.ServerStatus,
  target: string,
): core.routing.ServerOutlook["model"] {
  if (protocol.control.serves(server, target)) return "ready";
  return server.loading?.includes(target) ? "loading" : "absent";
}

/** Adds what the caller would be told. */
function renderForecast(
  forecast: core.routing.StartForecast,
): protocol.operators.StartForecast {
  switch (forecast.kind) {
    case "starts":
      return { kind: "starts", servers: [...forecast.servers] };
    case "waits": {
      const { expectedMs = null } = forecast;
      return { kind: "waits", for: forecast.for, expectedMs };
    }
    case "refused":
      return {
        kind: "refused",
        for: forecast.for,
        ...waitRefusals.answerTo(forecast.for, forecast.lateMs),
      };
    default:
      return protocol.errors.assertNever(forecast);
  }
}
