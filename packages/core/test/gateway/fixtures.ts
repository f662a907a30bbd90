import type { gateway as protocol } from "@ebonypath/protocol";
import type * as core from "../../src/gateway/mod.ts";

/** Creates a heartbeat with defaults for the fields that are not given. */
export function heartbeat(
  overrides: Partial<protocol.Heartbeat> = {},
): protocol.Heartbeat {
  return {
    id: "s1",
    born: 1_000,
    sequence: 1,
    service: "advice",
    softwareVersion: "1",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 8,
    state: "ready",
    coldMs: 0,
    models: [],
    inMemory: [],
    onDisk: [],
    ...overrides,
  };
}

/** Creates a model of 10 MB that loads in 6 s, 2 s or 1 s by its source. */
export function model(name: string): protocol.Model {
  return {
    name,
    weightsMb: 10,
    storeLoadMs: 6_000,
    diskLoadMs: 2_000,
    memoryLoadMs: 1_000,
    adapters: 8,
    adapterMb: 0.1,
  };
}

/** Creates an engine whose servers hold at most three models. */
export function engine(models: readonly string[]): protocol.Engine {
  return {
    slots: 10,
    memoryTokens: 10_000,
    weightsMb: 31,
    adapterPlaces: 4,
    storeLoadsPerSecond: 2,
    models: models.map(model),
  };
}

export function heldModel(
  name: string,
  adapters: string[] = [],
): protocol.LoadedModel {
  return { name, version: 1, adapters };
}

export function server(
  overrides: Partial<core.PlannerServer> & { readonly id: string },
): core.PlannerServer {
  return {
    softwareVersion: "1",
    models: [],
    isUsable: true,
    busyMs: 0,
    loading: undefined,
    inMemory: new Set(),
    onDisk: new Set(),
    running: new Map(),
    pendingAdapters: new Set(),
    unloadingAdapters: new Set(),
    ...overrides,
  };
}

export function demand(
  overrides: Partial<core.AggregateDemand> & { readonly model: string },
): core.AggregateDemand {
  return {
    adapter: undefined,
    softwareVersion: undefined,
    slacksMs: [1_000],
    returningMs: [],
    arrivalsPerSecond: 0.1,
    concurrency: 0.1,
    ...overrides,
  };
}

export function input(
  overrides: Partial<core.PlannerInput>,
): core.PlannerInput {
  return {
    engine: engine(["a", "b", "c", "d", "e", "f"]),
    servers: [],
    demand: [],
    canLoadFromStore: true,
    canOverloadStore: false,
    lastRequestedAt: new Map(),
    unservedMs: new Map(),
    observedMs: Infinity,
    loadedAt: new Map(),
    now: 100_000,
    ...overrides,
  };
}
