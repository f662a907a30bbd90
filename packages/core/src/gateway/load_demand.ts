/**
 * Views of the demand for models and adapters that the planner decides by.
 *
 * @module
 */
import * as types from "./load_planner_types.ts";

/** Whether a server has the software version that requests need. */
export function mayServe(
  server: types.PlannerServer,
  { softwareVersion }: types.AggregateDemand,
): boolean {
  return softwareVersion === undefined ||
    softwareVersion === server.softwareVersion;
}

/** Whether requests may run at any software version. */
export function isForAnyVersion(
  { softwareVersion }: types.AggregateDemand,
): boolean {
  return softwareVersion === undefined;
}

/** Whether requests wait or callers come back. */
export function hasWaiting({ slacksMs }: types.AggregateDemand): boolean {
  return slacksMs.length > 0;
}

/** Least slack of the requests that wait, without callers that come back. */
export function minWaitingSlack(
  { returningMs, slacksMs }: types.AggregateDemand,
): number {
  const returning = [...returningMs];
  const waiting = slacksMs.filter((slackMs) => {
    const index = returning.indexOf(slackMs);
    if (index >= 0) returning.splice(index, 1);
    return index < 0;
  });
  return Math.min(Infinity, ...waiting);
}

/**
 * Time since the first request that was not served, in milliseconds, by model:
 * the longest of the model and its adapters.
 */
export function unservedAges(
  { demand, unservedMs }: types.PlannerInput,
): Map<string, number> {
  const ages = new Map<string, number>();
  for (const { adapter, model } of demand) {
    const age = unservedMs.get(types.demandKey(model, adapter)) ?? 0;
    ages.set(model, Math.max(age, ages.get(model) ?? 0));
  }
  return ages;
}

/** Least slack, in milliseconds; infinite if nothing waits. */
export function minSlack({ slacksMs }: types.AggregateDemand): number {
  return Math.min(Infinity, ...slacksMs);
}

/**
 * The demand of resumed streams for models, with that for their adapters: one
 * entry for each model and software version.
 */
export function mergeVersions(
  demands: readonly types.AggregateDemand[],
): types.AggregateDemand[] {
  const versions = new Set(
    demands.map(({ softwareVersion }) => softwareVersion),
  );
  versions.delete(undefined);
  return [...versions].flatMap((softwareVersion) =>
    mergeAdapters(
      demands.filter((demand) => demand.softwareVersion === softwareVersion),
    ).map((demand) => ({ ...demand, softwareVersion }))
  );
}

/**
 * Adds the demand for adapters to the demand for their models, at any version.
 *
 * @example
 * ```ts
 * mergeAdapters(demand).find(({ model }) => model === "advice");
 * ```
 */
export function mergeAdapters(
  demands: readonly types.AggregateDemand[],
): types.AggregateDemand[] {
  const merged = new Map<string, types.AggregateDemand>();
  for (const demand of demands) {
    const previous = merged.get(demand.model);
    merged.set(
      demand.model,
      previous === undefined
        ? { ...demand, adapter: undefined, softwareVersion: undefined }
        : {
          model: demand.model,
          adapter: undefined,
          softwareVersion: undefined,
          slacksMs: [...previous.slacksMs, ...demand.slacksMs],
          returningMs: [...previous.returningMs, ...demand.returningMs],
          arrivalsPerSecond: previous.arrivalsPerSecond +
            demand.arrivalsPerSecond,
          concurrency: previous.concurrency + demand.concurrency,
        },
    );
  }
  return [...merged.values()];
}
