import type * as protocol from "@ebonypath/protocol";

/** One gigabyte, which a fake server loads in about a second. */
export const GB = 1_000_000_000;

/**
 * Configures the model service `advice`.
 *
 * @param sizes size in gigabytes by model name
 * @param options fields that replace the defaults of every model
 */
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
