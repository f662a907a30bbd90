/**
 * Room on servers that is kept for callers that were told to come back, at any
 * host.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

/** Time before a caller is due from which on room is kept for it, in ms. */
const AHEAD_MS = 500;
/**
 * Time after a caller was due for which room is kept for it, in ms: a connection
 * and the report of its host.
 */
const OVERDUE_MS = 500;
/**
 * Age from which on callers are counted anew, in milliseconds: the shortest
 * interval of a host's reports. It bounds the work where many hosts report.
 */
const MAX_COUNT_AGE_MS = 250;

/** Due callers and holders of the models of one service. */
type ServiceCount = {
  readonly countedAt: number;
  readonly due: ReadonlyMap<string, number>;
  readonly holders: ReadonlyMap<string, number>;
};

/** Counts the slots that are kept at each server. */
export class KeptRoom {
  readonly #demand: Pick<core.gateway.DemandTracker, "aggregate">;
  readonly #registry: Pick<core.gateway.ServerRegistry, "activeServers">;
  readonly #counts = new Map<string, ServiceCount>();

  constructor(
    demand: Pick<core.gateway.DemandTracker, "aggregate">,
    registry: Pick<core.gateway.ServerRegistry, "activeServers">,
  ) {
    this.#demand = demand;
    this.#registry = registry;
  }

  /** The slots of a server that are kept, for an answer to a host. */
  describe(
    { models, service, slots }: Pick<
      gateway.Heartbeat,
      "models" | "service" | "slots"
    >,
    now: number,
  ): Pick<gateway.ServerLoad, "kept"> {
    const { due, holders } = this.#countOf(service, now);
    if (due.size === 0) return {};
    const names = models.map(({ name }) => name);
    const kept = core.gateway.keptSlots({ slots, models: names }, due, holders);
    return kept === 0 ? {} : { kept };
  }

  #countOf(service: string, now: number): ServiceCount {
    const known = this.#counts.get(service);
    if (known !== undefined && now - known.countedAt < MAX_COUNT_AGE_MS) {
      return known;
    }
    for (const [name, { countedAt }] of this.#counts) {
      if (now - countedAt >= MAX_COUNT_AGE_MS) this.#counts.delete(name);
    }
    const due = new Map<string, number>();
    for (const one of this.#demand.aggregate(service, now)) {
      const count = one.returningMs.filter((dueMs) =>
        dueMs <= AHEAD_MS && dueMs >= -OVERDUE_MS
      ).length;
      if (count === 0) {
        continue;
      }
      due.set(one.model, (due.get(one.model) ?? 0) + count);
    }
    const holders = due.size === 0
      ? new Map<string, number>()
      : this.#countHolders(service);
    const count = { countedAt: now, due, holders };
    this.#counts.set(service, count);
    return count;
  }

  #countHolders(service: string): Map<string, number> {
    const holders = new Map<string, number>();
    for (const server of this.#registry.activeServers()) {
      if (server.service !== service) continue;
      for (const { name } of server.models) {
        holders.set(name, (holders.get(name) ?? 0) + 1);
      }
    }
    return holders;
  }
}
