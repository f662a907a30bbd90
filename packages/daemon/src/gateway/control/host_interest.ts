/**
 * Models that an entry host has requests for.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

/** Interest of a host that has not reported. */
export const NO_INTEREST: core.gateway.HostInterest = {
  waiting: new Set(),
  used: new Set(),
};

/**
 * Models that the host of a report has requests for.
 *
 * @example
 * ```ts
 * interestOf(report).waiting.has("advice/a3");
 * ```
 */
export function interestOf(
  { demand }: gateway.ReportRequest,
): core.gateway.HostInterest {
  const waiting = demand.filter(({ slacksMs }) => slacksMs.length > 0)
    .map(({ adapter, model }) =>
      adapter === undefined ? model : core.gateway.adapterKey(model, adapter)
    );
  return {
    waiting: new Set(waiting),
    used: new Set(demand.map(({ model }) => model)),
  };
}
