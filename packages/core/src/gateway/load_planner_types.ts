import type { gateway } from "@ebonypath/protocol";

/** Source from which a server would load a model's weights. */
export type WeightSource = "memory" | "disk" | "store";

/** Planner's view of a backend server that holds models. */
export type PlannerServer = {
  readonly id: string;
  readonly softwareVersion: string;
  readonly models: readonly gateway.LoadedModel[];
  /** Whether it may get orders and requests. */
  readonly isUsable: boolean;
  /** Whether it is about to shut down or to be removed. */
  readonly isLeaving?: boolean;
  /** Time until its current order is complete, in ms; 0 if it has none. */
  readonly busyMs: number;
  /** Model that it is loading. */
  readonly loading: string | undefined;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Number of running requests, by model and by `model/adapter`. */
  readonly running: ReadonlyMap<string, number>;
  /** Adapters that it has been ordered to load, as `model/adapter`. */
  readonly pendingAdapters: ReadonlySet<string>;
  /** Adapters that it has been ordered to unload, as `model/adapter`. */
  readonly unloadingAdapters: ReadonlySet<string>;
};

/** Demand of all entry hosts for one model, or for one of its adapters. */
export type AggregateDemand = {
  readonly model: string;
  readonly adapter: string | undefined;
  /** Version of the servers that its requests need, if not any. */
  readonly softwareVersion: string | undefined;
  /** Time until each waiting request is late, in milliseconds. */
  readonly slacksMs: readonly number[];
  /**
   * Time until each caller that was told to come back does so, in milliseconds;
   * negative once it is overdue. Each is among `slacksMs` too.
   */
  readonly returningMs: readonly number[];
  /** Recent arrival rate. */
  readonly arrivalsPerSecond: number;
  /** Average number of running and waiting requests. */
  readonly concurrency: number;
};

/** An order to load or unload a model or an adapter on a server. */
export type ModelOrder =
  | {
    readonly kind: "load";
    readonly server: string;
    readonly model: string;
    readonly source: WeightSource;
    readonly expectedMs: number;
  }
  | { readonly kind: "unload"; readonly server: string; readonly model: string }
  | {
    readonly kind: "load-adapter" | "unload-adapter";
    readonly server: string;
    readonly model: string;
    readonly adapter: string;
  };

/** Input of one planning round. */
export type PlannerInput = {
  readonly engine: gateway.Engine;
  readonly servers: readonly PlannerServer[];
  readonly demand: readonly AggregateDemand[];
  /** Whether a load from the weight store may start now. */
  readonly canLoadFromStore: boolean;
  /** Whether one may start beyond the store's bound, if it serves many. */
  readonly canOverloadStore: boolean;
  /** Time of the last demand for each model, by model and `model/adapter`. */
  readonly lastRequestedAt: ReadonlyMap<string, number>;
  /**
   * Time since the first request for each model and `model/adapter` that was not
   * served, in milliseconds.
   */
  readonly unservedMs: ReadonlyMap<string, number>;
  /** Time for which demand has been observed, in milliseconds. */
  readonly observedMs: number;
  /** Load time of each `server model`, in monotonic milliseconds. */
  readonly loadedAt: ReadonlyMap<string, number>;
  readonly now: number;
};

/**
 * Why a model that is asked for has no order to load it:
 *
 * - `out-of-turn`: nobody waits for it, and others that nobody waits for either
 *   go first
 * - `no-free-server`: all servers are out or were chosen for other models
 * - `store-bound`: the weight store serves as many loads as it may
 * - `copy-elsewhere`: it waits for a server that has a copy
 * - `no-victim`: no server has a model that it may evict
 * - `victims-run`: the models that it may evict run requests
 * - `copies-needed`: more requests wait for copies on the servers' disks
 * - `server-busy`: the server that was chosen for it executes another order
 */
export type Obstacle =
  | "out-of-turn"
  | "no-free-server"
  | "store-bound"
  | "copy-elsewhere"
  | "no-victim"
  | "victims-run"
  | "copies-needed"
  | "server-busy";

/** What a planning round has decided. */
export type PlannedRound = {
  /** Orders to send now. */
  readonly orders: readonly ModelOrder[];
  /** Models for which a server has been chosen, also without an order yet. */
  readonly planned: ReadonlySet<string>;
  /** Why models that are asked for have no order. */
  readonly obstacles: ReadonlyMap<string, Obstacle>;
};

/**
 * Key of an adapter together with its model.
 *
 * @example
 * ```ts
 * adapterKey("advice", "a3"); // "advice/a3"
 * ```
 */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/**
 * Key of a model or of one of its adapters.
 *
 * @example
 * ```ts
 * demandKey("advice", undefined); // "advice"
 * demandKey("advice", "a3"); // "advice/a3"
 * ```
 */
export function demandKey(model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : adapterKey(model, adapter);
}

/** Models that a server holds, and the one that it is loading. */
export function modelNames({ loading, models }: PlannerServer): string[] {
  const names = models.map(({ name }) => name);
  return loading === undefined ? names : [...names, loading];
}
