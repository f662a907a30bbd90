import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as dutyPerformer from "../../src/gateway/control/duty_performer.ts";
import type * as dutyTypes from "../../src/gateway/control/duty_types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

export const OWN = "control-1 10.0.0.1:1";
export const OTHER = "control-2 10.0.0.2:1";
export const TAKEOVER_DELAY_MS = 250;
/** Time within which a call would have been made, in milliseconds. */
export const CALL_MARGIN_MS = 150;
export const WINDOW_MS = 400;
export const DUE_MS = 800;

type UsageCall = {
  readonly usage: gateway.WindowUsage;
  readonly fence: number;
};
type OrderCall = dutyTypes.ServerCountOrder & { readonly fence: number };

/** A leader that performs duties, and the party that they are for. */
export class DutyFixture implements Disposable {
  readonly calls: UsageCall[] = [];
  readonly orders: OrderCall[] = [];
  /** Monotonic times of the orders, in milliseconds. */
  readonly orderedAt: number[] = [];
  /** What the party answers; `lost` takes the call and loses the answer. */
  answer: dutyTypes.CallAnswer["kind"] | "lost" = "accepted";
  hasLease = true;
  canCommit = true;
  readonly registry = new core.gateway.ServerRegistry();
  readonly demandTracker = new core.gateway.DemandTracker();
  readonly metrics = new GatewayMetrics();
  readonly performer: dutyPerformer.DutyPerformer;

  constructor(
    readonly state: core.gateway.GatewayState,
    settings: Partial<dutyTypes.DutySettings> = {},
  ) {
    this.performer = new dutyPerformer.DutyPerformer({
      settings: {
        duties: ["usage"],
        callsPerSecond: 50,
        usageWindowMs: WINDOW_MS,
        usageDueMs: DUE_MS,
        toleratedDomains: 1,
        domains: [],
        ...settings,
      },
      client: {
        reportUsage: (usage, { fence }) => {
          this.calls.push({ usage, fence });
          return this.#answerCall();
        },
        orderServers: (order, { fence }) => {
          this.orders.push({ ...order, fence });
          this.orderedAt.push(performance.now());
          return this.#answerCall();
        },
      },
      host: "control-1",
      holder: OWN,
      takeoverDelayMs: TAKEOVER_DELAY_MS,
      metrics: this.metrics,
      registry: this.registry,
      demandTracker: this.demandTracker,
      state: () => state,
      isSettled: () => true,
      isLeaseCertain: () => this.hasLease,
      commit: (command) => {
        if (!this.canCommit) return Promise.reject(new Error("no quorum"));
        state.apply(command);
        return Promise.resolve();
      },
    });
  }

  /** Reports a request that began now. */
  reportBegun(host: string): number {
    const wallMs = Date.now();
    const window = Math.floor(wallMs / WINDOW_MS);
    const begun = [{ window, workspace: "shop", count: 1 }];
    this.performer.recordReport(fixtures.report(host, { begun, wallMs }));
    return window;
  }

  [Symbol.dispose](): void {
    this.performer[Symbol.dispose]();
  }

  #answerCall(): Promise<dutyTypes.CallAnswer> {
    if (this.answer === "lost") return Promise.reject(new Error("lost"));
    return Promise.resolve({ kind: this.answer, detail: "" });
  }
}
