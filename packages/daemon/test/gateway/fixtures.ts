import type { gateway } from "@ebonypath/protocol";

/** Commits no change, for leaders whose tests make none. */
export function refuseChanges(): Promise<gateway.ChangeResponse> {
  return Promise.reject(new Error("no change is committed"));
}

/** Creates a heartbeat of a server that holds no models. */
export function heartbeat(
  id: string,
  overrides: Partial<gateway.Heartbeat> = {},
): gateway.Heartbeat {
  return {
    id,
    born: 1,
    sequence: 1,
    service: "advice",
    softwareVersion: "1",
    address: `10.0.0.${id.slice(1)}:80`,
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

/** Creates a leader's record of a server. */
export function serverRecord(
  id: string,
  overrides: Partial<gateway.ServerRecord> = {},
): gateway.ServerRecord {
  const { inMemory: _, onDisk: __, ...record } = heartbeat(id);
  return { ...record, silentMs: 0, leaving: [], ...overrides };
}

/** Creates models without adapters that load within some ten milliseconds. */
export function models(names: readonly string[]): gateway.Model[] {
  return names.map((name) => ({
    name,
    weightsMb: 10,
    storeLoadMs: 60,
    diskLoadMs: 20,
    memoryLoadMs: 20,
    adapters: 0,
    adapterMb: 0,
  }));
}

/** Creates the service of the servers above. */
export function engineService(
  names: readonly string[],
  overrides: Partial<gateway.Service> = {},
): gateway.Service {
  return {
    name: "advice",
    maxConnections: 8,
    coldRequestsPerSecond: 0,
    engine: {
      slots: 8,
      memoryTokens: 1_000,
      weightsMb: 30,
      adapterPlaces: 1,
      storeLoadsPerSecond: 100,
      models: models(names),
    },
    ...overrides,
  };
}

/** Creates a configuration of this service without routes. */
export function configuration(
  names: readonly string[],
  overrides: Partial<gateway.Configuration> = {},
): gateway.Configuration {
  return {
    version: 1,
    routes: [],
    services: [engineService(names)],
    limits: {
      headerBytes: 1_000,
      bodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
    ...overrides,
  };
}

/** Creates the report of a host without requests. */
export function report(
  host: string,
  overrides: Partial<gateway.ReportRequest> = {},
): gateway.ReportRequest {
  return {
    host,
    demand: [],
    usage: [],
    load: [],
    requests: [],
    wanted: [],
    streams: [],
    answered: { term: 0, usageRevision: 0 },
    servers: [],
    ...overrides,
  };
}

/** Creates a complete answer to a watch, without servers. */
export function watchResponse(
  overrides: Partial<gateway.WatchResponse> = {},
): gateway.WatchResponse {
  return {
    term: 1,
    revision: 1,
    isWhole: true,
    isSettled: true,
    servers: [],
    withdrawnDomains: [],
    limitedWorkspaces: [],
    mixedServices: [],
    controlHosts: [],
    ...overrides,
  };
}
