/**
 * Finds out where a stream began that a caller resumes.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as core from "@ebonypath/core";
import { errors, type gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import type * as types from "./types.ts";

const write = log.createLog("streams");

/**
 * Time for which the leader is asked again, in milliseconds. The host that began
 * the stream reports it within one interval of its reports.
 */
const REPORT_WAIT_MS = 600;
/** Interval at which the leader is asked again, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** Delay after which a caller may find a leader again, in seconds. */
const NO_LEADER_RETRY_SECONDS = 0.25;

/** What is known of a stream that a caller resumes. */
type Resolution =
  | { readonly kind: "known"; readonly origin: gateway.StreamOrigin }
  /** It may have begun at any of several versions. */
  | { readonly kind: "unknown" }
  /** This host has not relayed it, and no leader answers. */
  | { readonly kind: "no-leader" };

/** Whether a request may go on, with its context, or the refusal. */
export type Continuation =
  | { readonly kind: "continues"; readonly context: types.RequestContext }
  | { readonly kind: "refused"; readonly refusal: errors.Refusal };

/** Dependencies of a `StreamResolver`. */
export interface StreamResolverOptions {
  readonly streams: Pick<core.gateway.OwnStreams, "find">;
  readonly metrics: Pick<metrics.GatewayMetrics, "resumptions">;
  /** The service of a name, if the configuration has it. */
  service(name: string): gateway.Service | undefined;
  /**
   * Asks the leader.
   *
   * @throws {Error} no leader has answered in time
   */
  askLeader(request: gateway.StreamRequest): Promise<gateway.StreamResponse>;
}

/**
 * Lets callers resume a stream only at the service and software version that
 * began it: this host knows it, or asks the leader.
 */
export class StreamResolver {
  readonly #options: StreamResolverOptions;

  constructor(options: StreamResolverOptions) {
    this.#options = options;
  }

  /** Directs a request that resumes a stream; lets others pass. */
  async resume(context: types.RequestContext): Promise<Continuation> {
    if (!isResumption(context)) return { kind: "continues", context };
    const resolution = await this.#resolve(context);
    const continuation = this.#direct(context, resolution);
    const reason = resolution.kind === "known" ? "no-service" : resolution.kind;
    const outcome = continuation.kind === "continues" ? "directed" : reason;
    this.#options.metrics.resumptions.inc({ outcome });
    return continuation;
  }

  #direct(
    context: types.RequestContext,
    resolution: Resolution,
  ): Continuation {
    switch (resolution.kind) {
      case "known": {
        const { origin } = resolution;
        const service = servicesOf(context).includes(origin.service)
          ? this.#options.service(origin.service)
          : undefined;
        return service === undefined
          ? notResumable(
            `its route no longer leads to service ${origin.service}`,
          )
          : { kind: "continues", context: { ...context, service, origin } };
      }
      case "unknown":
        return notResumable("the software version that began it is not known");
      case "no-leader":
        return {
          kind: "refused",
          refusal: new errors.Refusal(
            errors.NOT_CURRENT,
            "no leader tells where the stream began",
            { retryAfterSeconds: NO_LEADER_RETRY_SECONDS },
          ),
        };
      default:
        return errors.assertNever(resolution);
    }
  }

  /** Waits for the report of a host that has begun the stream just now. */
  async #resolve(context: types.RequestContext): Promise<Resolution> {
    const { metadata, signal } = context;
    const id = metadata.resumedRequestId;
    const services = servicesOf(context);
    const until = performance.now() + REPORT_WAIT_MS;
    while (true) {
      const resolution = await this.#find(id, services);
      const mayBeReported = resolution.kind === "unknown" && id !== undefined;
      if (!mayBeReported || signal.aborted || performance.now() >= until) {
        return resolution;
      }
      // The timer rejects when the caller disconnects, which ends the wait.
      await timers.setTimeout(RETRY_INTERVAL_MS, undefined, { signal })
        .catch(() => undefined);
    }
  }

  async #find(
    id: string | undefined,
    services: string[],
  ): Promise<Resolution> {
    const { askLeader, streams } = this.#options;
    const own = id === undefined
      ? undefined
      : streams.find(id, performance.now());
    if (own !== undefined) return toResolution(own);
    try {
      const { origin } = await askLeader({ id: id ?? null, services });
      return toResolution(origin);
    } catch (error) {
      write("not-resolved", { id, error });
      return { kind: "no-leader" };
    }
  }
}

function isResumption({ metadata, route }: types.RequestContext): boolean {
  return route.kind === "streaming" && route.isResumable &&
    metadata.lastEventId !== undefined;
}

function servicesOf({ route }: types.RequestContext): string[] {
  return route.split.filter(({ weight }) => weight > 0)
    .map(({ service }) => service);
}

function toResolution(origin: gateway.StreamOrigin | null): Resolution {
  return origin === null || origin.softwareVersion === null
    ? { kind: "unknown" }
    : { kind: "known", origin };
}

function notResumable(detail: string): Continuation {
  return {
    kind: "refused",
    refusal: new errors.Refusal(errors.STREAM_NOT_RESUMABLE, detail),
  };
}
