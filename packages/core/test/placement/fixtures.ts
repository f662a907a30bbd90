import type * as protocol from "@ebonypath/protocol";

/** A gigabyte; fake servers load it from the store in about a second. */
export const GB = 1_000_000_000;

/** One model service `advice` with models of the given sizes in gigabytes. */
export function configuration(
  sizes: Readonly<Record<string, number>>,
  options: Partial<protocol.configuration.Model> = {},
): protocol.configuration.Configuration {
  return {
    workspaces: [],
    services: [{
      name: "advice",
      kind: "model",
      models: Object.entries(sizes).map(([name, size]) => ({
        name,
        version: "1",
        bytes: size * GB,
        kvBytes: 0,
        maxReplicas: 1,
        defaultMaxTokens: 16,
        adapters: [{ name: "x", version: "1", bytes: GB / 10 }],
        ...options,
      })),
      routes: [],
      workspaces: [],
      tiers: [{
        name: "now",
        maxWaitMs: 1_000,
        priceFactor: 1,
        delivery: "connected",
      }],
    }],
  };
}
