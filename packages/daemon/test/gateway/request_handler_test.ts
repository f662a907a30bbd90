import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as dispatcher from "../../src/gateway/entry/dispatcher.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as requestHandler from "../../src/gateway/entry/request_handler.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { EMPTY_METADATA } from "./request_metadata.ts";

const WATCH_RESPONSE: gateway.WatchResponse = {
  term: 1,
  revision: 1,
  isWhole: true,
  isSettled: true,
  servers: [],
  withdrawnDomains: [],
  limitedWorkspaces: [],
  controlHosts: [],
  configuration: {
    version: 1,
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
    limits: {
      headerBytes: 1_000,
      bodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
  },
};

/** A request handler without a configuration, behind an HTTP server. */
class Fixture implements AsyncDisposable {
  readonly view = new fleetView.FleetView();
  readonly dispatched: types.RequestContext[] = [];
  readonly handler: requestHandler.RequestHandler;
  readonly #server: http.Server;

  constructor(deadlineMs: number | undefined) {
    const serve = ({ context, response }: dispatcher.Exchange) => {
      this.dispatched.push(context);
      response.end("ok");
      return Promise.resolve(true);
    };
    this.handler = new requestHandler.RequestHandler({
      dialect: {
        readRequest: () => ({ ...EMPTY_METADATA, deadlineMs }),
        upstreamHeaders: () => [],
        readResponse: () => {
          throw new Error("no server is called");
        },
        responseHeaders: () => [],
        refusalHeaders: () => ({}),
      },
      view: this.view,
      dispatcher: { serve } as unknown as dispatcher.Dispatcher,
      rateLimiter: new core.gateway.SharedRateLimiter(),
      refreshUsage: () => Promise.resolve(),
      onArrival: () => undefined,
    });
    this.#server = http.createServer((request, response) =>
      void this.handler.handle(request, response)
    );
  }

  async sendRequest(): Promise<http.ClientRequest> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as net.AddressInfo;
    const request = http.get({ port, headers: { host: "h" } });
    await wait.waitFor(
      "the request to arrive",
      () => this.handler.openRequests > 0,
    );
    return request;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, "close");
  }
}

async function statusOf(request: http.ClientRequest): Promise<number> {
  const [response] = await once(request, "response");
  (response as http.IncomingMessage).resume();
  return (response as http.IncomingMessage).statusCode ?? 0;
}

describe("a request to a host without a configuration", () => {
  it("waits for the first configuration", async () => {
    await using fixture = new Fixture(2_000);
    const request = await fixture.sendRequest();
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    expect(await statusOf(request)).to.equal(200);
  });

  it("is refused while its caller has time to try another host", async () => {
    await using fixture = new Fixture(300);
    const startedAt = performance.now();
    const request = await fixture.sendRequest();
    expect(await statusOf(request)).to.equal(503);
    expect(performance.now() - startedAt).to.be.within(145, 280);
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("ends when its caller disconnects", async () => {
    await using fixture = new Fixture(undefined);
    const request = await fixture.sendRequest();
    request.on("error", () => undefined);
    request.destroy();
    await wait.waitFor(
      "the request to end",
      () => fixture.handler.openRequests === 0,
    );
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    expect(fixture.dispatched).to.deep.equal([]);
  });
});
