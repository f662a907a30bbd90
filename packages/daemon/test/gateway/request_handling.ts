/**
 * A request handler behind an HTTP server.
 *
 * @module
 */
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import * as bodyBudget from "../../src/gateway/entry/body_budget.ts";
import { readClocks } from "../../src/gateway/entry/clocks.ts";
import type * as dispatcher from "../../src/gateway/entry/dispatcher.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as hostDrain from "../../src/gateway/entry/host_drain.ts";
import * as rateGate from "../../src/gateway/entry/rate_gate.ts";
import * as requestHandler from "../../src/gateway/entry/request_handler.ts";
import type * as stateConfirmer from "../../src/gateway/entry/state_confirmer.ts";
import type * as streamResolver from "../../src/gateway/entry/stream_resolver.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA } from "./request_metadata.ts";

/** A leader's answer with one public route at host `h`. */
export const WATCH_RESPONSE = fixtures.watchResponse({
  configuration: fixtures.configuration([], {
    routes: [{
      name: "stock",
      host: "h",
      pathPrefix: "/",
      kind: "safe",
      timeoutMs: 2_000,
      targetMs: 100,
      priority: 1,
      maxAttempts: 1,
      isPublic: true,
      isResumable: false,
      split: [{ service: "stock", weight: 1 }],
    }],
    services: [{
      name: "stock",
      maxConnections: 8,
      coldRequestsPerSecond: 0,
    }],
  }),
});

/** Age from which on a configuration has to be confirmed, in milliseconds. */
export const MAX_AGE_MS = 500;

/** Memory for the bodies of all requests, in bytes. */
export const MAX_BODY_BYTES = 3_000;

/** A request handler without a configuration, behind an HTTP server. */
export class Fixture implements AsyncDisposable {
  readonly view = new fleetView.FleetView();
  readonly drain = new hostDrain.HostDrain();
  readonly dispatched: types.RequestContext[] = [];
  readonly handler: requestHandler.RequestHandler;
  readonly bodyBudget = new bodyBudget.BodyBudget(MAX_BODY_BYTES);
  readonly rateLimiter = new core.gateway.SharedRateLimiter();
  arrivals = 0;
  /** Age of the other hosts' usage, in milliseconds. */
  usageAgeMs = 0;
  /** Number of times that the usage of all hosts was asked for. */
  refreshes = 0;
  /** Number of times that the control hosts were asked for what is in force. */
  confirmations = 0;
  /** Requests that were admitted by an unconfirmed configuration. */
  unconfirmed = 0;
  /** Requests that were admitted for a workspace near its rate. */
  limitedAdmissions = 0;
  /** Whether callers wait for their answers. */
  isCallerPresent = true;
  /** Whether requests are served at once, or not before their time is over. */
  servesAtOnce = true;
  /** What the control hosts do when they are asked. */
  onConfirm: () => Promise<stateConfirmer.Confirmation> = () =>
    Promise.resolve("unknown");
  /** What happens when the usage of all hosts is asked for. */
  onRefresh: () => void = () => undefined;
  readonly #server: http.Server;

  constructor(
    deadlineMs: number | undefined,
    metadata: Partial<types.RequestMetadata> = {},
  ) {
    const serve = async ({ context, response }: dispatcher.Exchange) => {
      this.dispatched.push(context);
      if (!this.servesAtOnce) await once(context.signal, "abort");
      response.end("ok");
      return true;
    };
    this.handler = new requestHandler.RequestHandler({
      dialect: {
        readRequest: () => ({ ...EMPTY_METADATA, deadlineMs, ...metadata }),
        upstreamHeaders: () => [],
        readResponse: () => {
          throw new Error("no server is called");
        },
        responseHeaders: () => [],
        refusalHeaders: () => ({}),
      },
      view: this.view,
      dispatcher: { serve } as unknown as dispatcher.Dispatcher,
      streamResolver: {
        resume: (context: types.RequestContext) =>
          Promise.resolve({ kind: "continues", context }),
      } as unknown as streamResolver.StreamResolver,
      rateLimiter: this.rateLimiter,
      drain: this.drain,
      bodyBudget: this.bodyBudget,
      maxConfigurationAgeMs: MAX_AGE_MS,
      confirmConfiguration: () => {
        this.confirmations += 1;
        return this.onConfirm();
      },
      rateGate: new rateGate.RateGate({
        view: this.view,
        rateLimiter: this.rateLimiter,
        usageAgeMs: () => this.usageAgeMs,
        refreshUsage: () => {
          this.refreshes += 1;
          this.onRefresh();
          return Promise.resolve();
        },
      }),
      onRefused: () => {},
      onUnconfirmed: () => this.unconfirmed += 1,
      onLimitedAdmission: () => this.limitedAdmissions += 1,
      isCallerPresent: () => Promise.resolve(this.isCallerPresent),
      onArrival: () => undefined,
    });
    this.#server = http.createServer((request, response) => {
      this.arrivals += 1;
      void this.handler.handle(request, response);
    });
  }

  /** Sends a request and returns the status of its response. */
  async fetchStatus(): Promise<number> {
    return await statusOf(await this.#startRequest());
  }

  /** Sends a request; resolves when it has arrived. */
  async sendRequest(): Promise<http.ClientRequest> {
    const request = await this.#startRequest();
    await wait.waitFor(
      "the request to arrive",
      () => this.arrivals > 0,
    );
    return request;
  }

  /** Sends requests with bodies at the same time; returns their statuses. */
  async postAll(count: number, bytes: number): Promise<number[]> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as net.AddressInfo;
    return await Promise.all(Array.from({ length: count }, async () => {
      const request = http.request({
        port,
        method: "POST",
        headers: { host: "h", "content-length": bytes },
        agent: false,
      });
      const status = statusOf(request);
      request.end("x".repeat(bytes));
      return await status;
    }));
  }

  async #startRequest(): Promise<http.ClientRequest> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as net.AddressInfo;
    return http.get({ port, headers: { host: "h" } });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, "close");
  }
}

/** Status of the response to a request. */
export async function statusOf(request: http.ClientRequest): Promise<number> {
  const [response] = await once(request, "response");
  (response as http.IncomingMessage).resume();
  return (response as http.IncomingMessage).statusCode ?? 0;
}

/** The configuration of `WATCH_RESPONSE`, by another version and for a host. */
export function configurationFor(
  host: string,
  version: number,
): gateway.Configuration {
  const { configuration } = WATCH_RESPONSE;
  if (configuration === undefined) throw new TypeError("none to change");
  return {
    ...configuration,
    version,
    routes: configuration.routes.map((route) => ({ ...route, host })),
  };
}

/** Applies a configuration that was known to be in force some time ago. */
export function applyConfiguration(
  { view }: Fixture,
  configuration: gateway.Configuration,
  ageMs: number,
): void {
  const { monotonicMs, wallMs } = readClocks();
  view.apply(
    { ...WATCH_RESPONSE, heldMs: 0, configuration },
    performance.now(),
    { monotonicMs: monotonicMs - ageMs, wallMs: wallMs - ageMs },
  );
}
