import type { configuration } from "@ebonypath/protocol";

/** A rate that no experiment reaches. */
const ENDLESS = 1_000_000_000;
const GB = 10 ** 9;

/** How large a generated configuration is. */
export interface CatalogueSize {
  readonly models: number;
  /** Adapters over all models. */
  readonly adapters: number;
  readonly workspaces: number;
}

/** Names the model with this number, as callers do. */
export function modelName(index: number): string {
  return `bench/m${index}`;
}

/** A tier in which callers wait. */
export function tier(maxWaitMs = 20_000): configuration.Tier {
  return { name: "now", maxWaitMs, priceFactor: 1, delivery: "connected" };
}

/** A workspace without practical limits unless told otherwise. */
export function workspace(
  name: string,
  rate = ENDLESS,
  burst = ENDLESS,
): configuration.Workspace {
  return { name, rate, burst, weight: 1, deferredLimit: 1_000 };
}

/** A model without adapters. */
export function model(
  name: string,
  more: Partial<configuration.Model> = {},
): configuration.Model {
  return {
    name,
    version: "1",
    bytes: 8 * GB,
    kvBytes: 2 * GB,
    maxReplicas: 1,
    defaultMaxTokens: 16,
    adapters: [],
    ...more,
  };
}

/** The service `bench` with these models. */
export function modelService(
  models: configuration.Model[],
  workspaces: readonly string[],
): configuration.Service {
  return {
    name: "bench",
    kind: "model",
    models,
    routes: [],
    workspaces: [...workspaces],
    tiers: [tier()],
  };
}

/** The plain service `plain` with one route of each kind. */
export function plainService(
  workspaces: readonly string[],
  cost = 1,
  maxWaitMs?: number,
): configuration.Service {
  const route = { idempotent: true, open: false, cost };
  return {
    name: "plain",
    kind: "plain",
    models: [],
    routes: [
      { ...route, method: "GET", path: "/items" },
      { ...route, method: "POST", path: "/items", idempotent: false },
    ],
    workspaces: [...workspaces],
    tiers: [tier(maxWaitMs)],
  };
}

/** A configuration of a given size, with its adapters spread evenly. */
export function catalogue(size: CatalogueSize): configuration.Configuration {
  const names = Array.from(
    { length: size.workspaces },
    (_, index) => `w${index}`,
  );
  const models = Array.from(
    { length: size.models },
    (_, index) => model(`m${index}`, { adapters: adaptersOf(index, size) }),
  );
  return {
    workspaces: names.map((name) => workspace(name)),
    services: [modelService(models, names)],
  };
}

function adaptersOf(
  index: number,
  size: CatalogueSize,
): configuration.Adapter[] {
  const least = Math.floor(size.adapters / size.models);
  const isLonger = index < size.adapters % size.models;
  return Array.from({ length: least + (isLonger ? 1 : 0) }, (_, number) => ({
    name: `a${number}`,
    version: "1",
    bytes: GB / 20,
  }));
}
