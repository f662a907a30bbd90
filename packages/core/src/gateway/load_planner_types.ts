import type { gateway } from "@ebonypath/protocol";

/** Where a server would load a model's weights from. */
export type WeightSource = "memory" | "disk" | "store";

/** A server that holds models, as the planner sees it. */
export type PlannerServer = {
  readonly id: string;
  readonly models: readonly gateway.LoadedModel[];
  /** Whether it can be given an order and requests. */
  readonly isUsable: boolean;
  /** Time until its order is complete; 0 when there is none, in ms. */
  readonly busyMs: number;
  /** Model that it loads. */
  readonly loading: string | undefined;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Requests that run, by model and by `model/adapter`. */
  readonly running: ReadonlyMap<string, number>;
  /** Adapters on their way, as `model/adapter`. */
  readonly pendingAdapters: ReadonlySet<string>;
  /** Adapters that it is told to drop, as `model/adapter`. */
  readonly unloadingAdapters: ReadonlySet<string>;
};

/** What requests want of one model, or of one of its adapters. */
export type AggregateDemand = {
  readonly model: string;
  readonly adapter: string | undefined;
  /** Of each waiting request the time until it is late; in milliseconds. */
  readonly slacksMs: readonly number[];
  /** Arrivals per second lately. */
  readonly arrivalsPerSecond: number;
  /** Requests that run or wait, averaged. */
  readonly concurrency: number;
};

/** An order to a server, to be given now. */
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

/** All that one round of planning looks at. */
export type PlannerInput = {
  readonly engine: gateway.Engine;
  readonly servers: readonly PlannerServer[];
  readonly demand: readonly AggregateDemand[];
  /** Whether a load from the weight store may begin now. */
  readonly canLoadFromStore: boolean;
  /** When each model was last wanted, by model and `model/adapter`. */
  readonly lastRequestedAt: ReadonlyMap<string, number>;
  /** When each `server model` was loaded, in monotonic milliseconds. */
  readonly loadedAt: ReadonlyMap<string, number>;
  readonly now: number;
};

/**
 * Names an adapter together with its model.
 *
 * @example
 * ```ts
 * adapterKey("advice", "a3"); // "advice/a3"
 * ```
 */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
