/**
 * Tells requests whose callers come back after a refusal.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as fleetView from "./fleet_view.ts";
import type * as requestIdentity from "./request_identity.ts";
import type * as types from "./types.ts";

/**
 * Remembers which requests come back. They are recognized once, as they arrive:
 * attempts at further servers are no arrivals.
 *
 * @example
 * ```ts
 * if (callers.recordArrival(context, performance.now())) returned += 1;
 * ```
 */
export class ReturningCallers {
  readonly #view: Pick<fleetView.FleetView, "configuration">;
  readonly #statedTimes = new core.gateway.StatedTimes();
  readonly #returning = new WeakSet<requestIdentity.RequestIdentity>();
  #configuration: gateway.Configuration | null = null;

  constructor(view: Pick<fleetView.FleetView, "configuration">) {
    this.#view = view;
  }

  /** Notes a request; returns whether its caller has likely come before. */
  recordArrival(
    { identity, metadata, route, service }: types.RequestContext,
    now: number,
  ): boolean {
    const { deadlineMs } = metadata;
    if (service.engine === undefined || deadlineMs === undefined) return false;
    this.#forgetRoutes();
    if (!this.#statedTimes.isReturning(route.name, deadlineMs, now)) {
      return false;
    }
    this.#returning.add(identity);
    return true;
  }

  isReturning({ identity }: types.RequestContext): boolean {
    return this.#returning.has(identity);
  }

  #forgetRoutes(): void {
    const { configuration } = this.#view;
    if (configuration === this.#configuration) return;
    this.#configuration = configuration;
    const routes = configuration?.routes ?? [];
    this.#statedTimes.retain(new Set(routes.map(({ name }) => name)));
  }
}
