import type * as types from "./load_planner_types.ts";

/**
 * Longest order of a server whose copies still count as at hand, in
 * milliseconds. It is about the time of a load from a disk.
 */
const AT_HAND_MS = 2_500;
/**
 * Arrival rate from which more requests for a model are expected, per second.
 * Below it, a single request would make it look used for the next seconds.
 */
const STEADY_PER_SECOND = 0.5;

/**
 * Copies of weights that requests need, and the servers that have them. A
 * server executes one order at a time, so while it loads a model from the
 * weight store, the copies on its disk are out of reach.
 *
 * Answers a busy model that can't be loaded from the only disk that has it,
 * because the server began a long load for a rare one.
 *
 * @example
 * ```ts
 * const needs = new CopyNeeds(servers, demand);
 * needs.blockedRequests(server, 15_000); // 2.4
 * ```
 */
export class CopyNeeds {
  readonly #demand: ReadonlyMap<string, types.AggregateDemand>;
  /** Servers that hold each model, or have a copy and time to load it. */
  readonly #atHand = new Map<string, number>();
  /** Needed copies of each server: a round asks for each of its loads. */
  readonly #copiesByServer = new Map<
    types.PlannerServer,
    readonly types.AggregateDemand[]
  >();

  constructor(
    servers: readonly types.PlannerServer[],
    demand: readonly types.AggregateDemand[],
  ) {
    this.#demand = new Map(demand.map((one) => [one.model, one]));
    for (const server of servers.filter(({ isUsable }) => isUsable)) {
      for (const model of this.#modelsAtHand(server)) {
        this.#atHand.set(model, (this.#atHand.get(model) ?? 0) + 1);
      }
    }
  }

  /**
   * Requests that wait now or are expected during a load, and whose model no
   * other server has at hand.
   *
   * @param loadMs duration of the load, in milliseconds
   */
  blockedRequests(server: types.PlannerServer, loadMs: number): number {
    let requests = 0;
    for (const { arrivalsPerSecond, model, slacksMs } of this.#copies(server)) {
      if ((this.#atHand.get(model) ?? 0) > 1) continue;
      const isSteady = arrivalsPerSecond >= STEADY_PER_SECOND;
      const expected = isSteady ? arrivalsPerSecond * loadMs / 1_000 : 0;
      requests += slacksMs.length + expected;
    }
    return requests;
  }

  /** Whether a server holds a model, or has a copy and time to load it. */
  isAtHand(model: string): boolean {
    return this.#atHand.has(model);
  }

  /** Whether a model of which one replica is held is at hand elsewhere. */
  isElsewhere(model: string): boolean {
    return (this.#atHand.get(model) ?? 0) > 1;
  }

  /** Number of models in demand that a server has copies of. */
  neededCopies(server: types.PlannerServer): number {
    return this.#copies(server).length;
  }

  /** Demand for the models that a server doesn't hold but has a copy of. */
  #copies(server: types.PlannerServer): readonly types.AggregateDemand[] {
    const known = this.#copiesByServer.get(server);
    if (known !== undefined) return known;
    const held = new Set(server.models.map(({ name }) => name));
    const copies = [...copiesOf(server)]
      .filter((model) => !held.has(model))
      .map((model) => this.#demand.get(model))
      .filter((demand) => demand !== undefined);
    this.#copiesByServer.set(server, copies);
    return copies;
  }

  #modelsAtHand(server: types.PlannerServer): Set<string> {
    const held = server.models.map(({ name }) => name);
    const copies = server.busyMs <= AT_HAND_MS ? copiesOf(server) : [];
    return new Set(
      [...held, ...copies].filter((model) => this.#demand.has(model)),
    );
  }
}

function copiesOf({ inMemory, onDisk }: types.PlannerServer): Set<string> {
  return new Set([...inMemory, ...onDisk]);
}
