/**
 * Orders the number of servers of each service and failure domain.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as dutyTypes from "./duty_types.ts";

const write = log.createLog("duty");

/** Interval of the decisions, in ms: some of them within a lasting need. */
const DECISION_INTERVAL_MS = 250;
/** Time without a heartbeat after which a server doesn't count, in ms. */
const SILENT_MS = 8_000;

/** Options of a server orderer. */
export interface ServerOrdererOptions extends dutyTypes.DutyContext {
  readonly registry: core.gateway.ServerRegistry;
  readonly demandTracker: core.gateway.DemandTracker;
}

type ScaledService = {
  readonly service: gateway.Service;
  readonly limits: Extract<core.duties.ScalingLimits, { kind: "usable" }>;
};

/**
 * Decides during one term of leadership how many servers to order, and commits
 * an order before it is sent. An order that is on its way is repeated until it is
 * accepted; a new one for its subject waits for that.
 *
 * @example
 * ```ts
 * using orderer = new ServerOrderer(options);
 * orderer.decide(performance.now());
 * const calls = orderer.pendingCalls();
 * ```
 */
export class ServerOrderer implements Disposable {
  readonly #options: ServerOrdererOptions;
  readonly #counts = new Map<string, core.duties.ServerCount>();
  /** Orders that the other side won't take; new ones may replace them. */
  readonly #refused = new Set<string>();
  /** Subjects whose order is being committed. */
  readonly #committing = new Set<string>();
  #checkedVersion: number | undefined;
  #nextDecisionAt = -Infinity;
  #hasLoggedFull = false;

  constructor(options: ServerOrdererOptions) {
    this.#options = options;
  }

  /** Takes back the metrics, which are the leader's. */
  [Symbol.dispose](): void {
    this.#options.metrics.orderedServers.reset();
    this.#options.metrics.unusableScaling.set(0);
  }

  /** Forgets the calm, because time has passed unnoticed. */
  reset(): void {
    for (const count of this.#counts.values()) count.reset();
  }

  /** Commits the orders that are due. */
  decide(now: number): void {
    if (now < this.#nextDecisionAt || !this.#options.isSettled()) return;
    this.#nextDecisionAt = now + DECISION_INTERVAL_MS;
    this.#logUnusable();
    const { metrics, state } = this.#options;
    metrics.orderedServers.reset();
    for (const { count, domain, service } of state().duties.serverOrders) {
      metrics.orderedServers.set({ service, domain }, count);
    }
    for (const scaled of this.#services()) this.#decideFor(scaled, now);
  }

  /** Orders that are not accepted; those of a withdrawn domain wait. */
  pendingCalls(): dutyTypes.DutyCall[] {
    const names = new Set(this.#services().map(({ service }) => service.name));
    const { duties, withdrawnDomains } = this.#options.state();
    return duties.serverOrders
      .filter((order) => names.has(order.service) && !order.isAccepted)
      .filter(({ domain }) => !withdrawnDomains.includes(domain))
      .filter((order) => !this.#committing.has(subjectOf(order)))
      .map((order) => this.#toCall(order));
  }

  #toCall(order: gateway.ServerOrder): dutyTypes.DutyCall {
    const { count, domain, service } = order;
    const key = `servers ${count} ${subjectOf(order)}`;
    return {
      duty: "scaling",
      key,
      event: "servers-ordered",
      fields: { service, domain, count },
      send: (client, fence) =>
        client.orderServers({ service, domain, count }, fence),
      onAnswer: ({ kind }) => {
        if (kind === "refused") this.#refused.add(key);
        else this.#refused.delete(key);
        // If this fails, the same call is made again: it changes nothing.
        if (kind === "accepted") this.#commit({ ...order, isAccepted: true });
      },
    };
  }

  #services(): ScaledService[] {
    const { configuration } = this.#options.state();
    return (configuration?.services ?? []).flatMap((service) => {
      if (service.scaling === undefined) return [];
      const limits = core.duties.scalingLimits(service.scaling);
      return limits.kind === "usable" ? [{ service, limits }] : [];
    });
  }

  #decideFor({ limits, service }: ScaledService, now: number): void {
    const { name } = service;
    const count = this.#counts.get(name) ?? new core.duties.ServerCount();
    this.#counts.set(name, count);
    const use = this.#useOf(service, now);
    const orders = count.decide({
      now,
      limits,
      use,
      serversForModels: serversForModels(service),
      domains: this.#domainsOf(name, now),
      toleratedDomains: this.#options.settings.toleratedDomains,
    });
    for (const { count, domain, reason } of orders) {
      const order = { service: name, domain, count, isAccepted: false };
      if (!this.#maySet(order)) continue;
      write("server-count", {
        service: name,
        domain,
        count,
        reason,
        requests: use.requests,
        missing_models: use.missingModels,
        hosts: use.hosts,
      });
      this.#commit(order);
    }
  }

  /** Whether no other order of the subject is on its way. */
  #maySet(order: gateway.ServerOrder): boolean {
    const subject = subjectOf(order);
    if (this.#committing.has(subject)) return false;
    const { serverOrders } = this.#options.state().duties;
    const last = serverOrders.find((one) => subjectOf(one) === subject);
    if (last === undefined) {
      const isFull = serverOrders.length >= core.duties.MAX_SERVER_ORDERS;
      if (isFull) this.#logFull(order);
      return !isFull;
    }
    return last.isAccepted || (last.count !== order.count &&
      this.#refused.has(this.#toCall(last).key));
  }

  #commit(order: gateway.ServerOrder): void {
    const subject = subjectOf(order);
    this.#committing.add(subject);
    this.#options.commit({ kind: "order-servers", ...order })
      .catch((error: unknown) =>
        write("order-not-recorded", { ...order, error })
      )
      .finally(() => this.#committing.delete(subject));
  }

  /** Tells once in a term that there are too many subjects, and the first. */
  #logFull({ domain, service }: gateway.ServerOrder): void {
    if (this.#hasLoggedFull) return;
    this.#hasLoggedFull = true;
    const limit = core.duties.MAX_SERVER_ORDERS;
    write("orders-full", { limit, service, domain });
  }

  #useOf(
    { engine, name }: gateway.Service,
    now: number,
  ): core.duties.ServiceUse {
    const { demandTracker } = this.#options;
    const servers = this.#serversOf(name);
    const held = new Set(
      servers.filter((server) => this.#isServing(server, now))
        .flatMap(({ models }) => models.map((model) => model.name)),
    );
    // Entry hosts let a request for any name wait, also for one of no model.
    const configured = new Set(engine?.models.map((model) => model.name));
    const waiting = demandTracker.aggregate(name, now)
      .filter(({ model, slacksMs }) =>
        slacksMs.length > 0 && configured.has(model)
      );
    const running = servers.reduce(
      (sum, { id }) => sum + demandTracker.loadOf(id),
      0,
    );
    const missing = waiting.map(({ model }) => model)
      .filter((model) => !held.has(model));
    return {
      hosts: demandTracker.hostCount,
      requests: waiting.reduce(
        (sum, one) => sum + one.slacksMs.length,
        running,
      ),
      slots: engine?.slots ??
        Math.max(1, ...servers.map(({ slots }) => slots)),
      missingModels: new Set(missing).size,
    };
  }

  #domainsOf(service: string, now: number): core.duties.DomainServers[] {
    const { duties, withdrawnDomains } = this.#options.state();
    const ordered = new Map(
      duties.serverOrders.filter((order) => order.service === service)
        .map(({ count, domain }) => [domain, count]),
    );
    const serving = new Map<string, number>();
    for (const server of this.#serversOf(service)) {
      const count = serving.get(server.failureDomain) ?? 0;
      const added = this.#isServing(server, now) ? 1 : 0;
      serving.set(server.failureDomain, count + added);
    }
    const { domains } = this.#options.settings;
    return [...new Set([...ordered.keys(), ...serving.keys()])].sort()
      // A false heartbeat may name any domain.
      .filter((domain) => domains.length === 0 || domains.includes(domain))
      .map((domain) => ({
        domain,
        serving: serving.get(domain) ?? 0,
        ordered: ordered.get(domain) ?? null,
        isWithdrawn: withdrawnDomains.includes(domain),
      }));
  }

  #isServing({ id, state }: gateway.Heartbeat, now: number): boolean {
    const silentMs = this.#options.registry.timeSinceHeartbeatMs(id, now);
    return state === "ready" && silentMs < SILENT_MS;
  }

  #serversOf(service: string): gateway.Heartbeat[] {
    return this.#options.registry.activeServers()
      .filter((server) => server.service === service);
  }

  /** Tells once for each configuration what can't be scaled, and why. */
  #logUnusable(): void {
    const { configuration } = this.#options.state();
    if (configuration === null) return;
    if (configuration.version === this.#checkedVersion) return;
    this.#checkedVersion = configuration.version;
    const unusable = configuration.services.flatMap(({ name, scaling }) => {
      if (scaling === undefined) return [];
      const limits = core.duties.scalingLimits(scaling);
      return limits.kind === "unusable" ? [`${name}: ${limits.reason}`] : [];
    });
    this.#options.metrics.unusableScaling.set(unusable.length);
    if (unusable.length === 0) return;
    write("scaling-unusable", {
      version: configuration.version,
      services: unusable.length,
      first: unusable[0],
    });
  }
}

function serversForModels({ engine }: gateway.Service): number {
  if (engine === undefined || engine.weightsMb === 0) return 0;
  const total = engine.models.reduce((sum, one) => sum + one.weightsMb, 0);
  return total / engine.weightsMb;
}

function subjectOf(
  { domain, service }: Pick<gateway.ServerOrder, "service" | "domain">,
): string {
  return JSON.stringify([service, domain]);
}
