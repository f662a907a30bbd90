/**
 * Measures what an entry host uses of what it has, and refuses requests at once
 * that it couldn't serve in time.
 *
 * @module
 */
import type * as http from "node:http";
import { performance } from "node:perf_hooks";
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import { errors } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import type * as connectionMeter from "./connection_meter.ts";
import * as responses from "./responses.ts";
import type * as types from "./types.ts";

const write = log.createLog("load");

const BITS_PER_BYTE = 8;
const SECOND_MS = 1_000;

/** What a host has for callers. */
export type HostLimits = {
  /** Connections of callers. */
  readonly connections: number;
  /** Bandwidth of its link, in bits per second; 0 if it is not known. */
  readonly linkBitsPerSecond: number;
  readonly thresholds?: core.gateway.LoadThresholds;
};

/** Settings and dependencies of a {@link HostLoadWatch}. */
export interface HostLoadWatchOptions {
  readonly limits: HostLimits;
  readonly meter: Pick<
    connectionMeter.ConnectionMeter,
    "bytes" | "connections"
  >;
  readonly dialect: Pick<types.Dialect, "readRequest" | "refusalHeaders">;
  readonly metrics: metrics.GatewayMetrics;
  /** Fraction of the memory for bodies and responses that is used. */
  memoryUse(): number;
  /** Cumulative use of the event loop. */
  readonly loopUse?: typeof performance.eventLoopUtilization;
  /** Monotonic clock in milliseconds. */
  readonly clock?: () => number;
}

/** Watches the load of one host until it is disposed. */
export class HostLoadWatch implements Disposable {
  readonly #options: HostLoadWatchOptions;
  readonly #load: core.gateway.HostLoad;
  readonly #loopUse: typeof performance.eventLoopUtilization;
  readonly #clock: () => number;
  readonly #timer: NodeJS.Timeout;
  #lastLoopUse: ReturnType<typeof performance.eventLoopUtilization>;
  #lastBytes = 0;
  #measuredAt: number;

  constructor(options: HostLoadWatchOptions) {
    this.#options = options;
    this.#load = new core.gateway.HostLoad(options.limits.thresholds);
    this.#loopUse = options.loopUse ?? performance.eventLoopUtilization;
    this.#clock = options.clock ?? (() => performance.now());
    this.#lastLoopUse = this.#loopUse();
    this.#measuredAt = this.#clock();
    this.#timer = timers.setInterval(
      () => this.measure(),
      core.gateway.LOAD_WINDOW_MS,
    );
    this.#timer.unref();
  }

  /** Whether the balancer is to send new connections to other hosts. */
  get isHandingOn(): boolean {
    return this.#load.state.isHandingOn;
  }

  /** Measures the use since the last call, and decides by it. */
  measure(): void {
    const now = this.#clock();
    const { limits, memoryUse, meter, metrics } = this.#options;
    const loopUse = this.#loopUse();
    const { bytes, connections } = meter;
    const seconds = Math.max(1, now - this.#measuredAt) / SECOND_MS;
    const bits = (bytes - this.#lastBytes) * BITS_PER_BYTE;
    const { linkBitsPerSecond } = limits;
    const use: core.gateway.HostUse = {
      processor: this.#loopUse(loopUse, this.#lastLoopUse).utilization,
      memory: memoryUse(),
      connections: connections / limits.connections,
      link: linkBitsPerSecond > 0 ? bits / seconds / linkBitsPerSecond : 0,
    };
    this.#lastLoopUse = loopUse;
    this.#lastBytes = bytes;
    this.#measuredAt = now;
    for (const [resource, fraction] of Object.entries(use)) {
      metrics.hostUse.set({ resource }, fraction);
    }
    const hasChanged = this.#load.update(use, now);
    const { state } = this.#load;
    metrics.handingOn.set(state.isHandingOn ? 1 : 0);
    metrics.admittedFraction.set(state.admitted);
    if (hasChanged) this.#logState(state);
  }

  /**
   * Refuses a request if the host has too much to do already. Its connection is
   * closed, so that the caller's next one may be sent to another host; to close
   * it before the body has been read would reset it, and lose the refusal.
   *
   * @returns whether the request was refused
   */
  refuses(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): boolean {
    if (this.#load.tryAdmit()) return false;
    const { dialect, metrics } = this.#options;
    const { fullest: resource } = this.#load.state;
    const { id } = dialect.readRequest(request);
    const refusal = new errors.Refusal(
      errors.NO_CAPACITY,
      `this host is at the limit of its ${resource}`,
      { retryAfterSeconds: this.#load.returnMs / SECOND_MS },
    );
    metrics.loadRefusals.inc({ resource });
    write("refused", { id, status: refusal.definition.status, resource });
    response.shouldKeepAlive = false;
    request.once("end", () => {
      responses.sendRefusal(response, dialect, id, refusal);
    });
    request.resume();
    return true;
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#timer);
  }

  #logState(
    { admitted, isHandingOn, resource, use }: core.gateway.HostLoadState,
  ): void {
    write("changed", {
      handing_on: isHandingOn,
      admitted: admitted.toFixed(2),
      resource,
      use: use.toFixed(2),
    });
  }
}
