import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as dispatcher from "../../src/gateway/entry/dispatcher.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as reception from "../../src/gateway/entry/reception.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { FACTS } from "./facts.ts";

const ANSWER: gateway.WatchResponse = {
  term: 1,
  revision: 1,
  isWhole: true,
  isSettled: true,
  servers: [],
  withdrawnDomains: [],
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

/** A host that has just started, and has heard of no configuration. */
class World implements AsyncDisposable {
  readonly view = new fleetView.FleetView();
  readonly served: types.Work[] = [];
  readonly reception: reception.Reception;
  readonly #server: http.Server;

  constructor(deadlineMs: number | undefined) {
    const serve = ({ work, response }: dispatcher.Exchange) => {
      this.served.push(work);
      response.end("ok");
      return Promise.resolve(true);
    };
    this.reception = new reception.Reception({
      dialect: {
        read: () => ({ ...FACTS, deadlineMs }),
        forward: () => [],
        readAnswer: () => {
          throw new Error("no server answers");
        },
        answerHeaders: () => [],
        refusalHeaders: () => ({}),
      },
      view: this.view,
      dispatcher: { serve } as unknown as dispatcher.Dispatcher,
      meter: new core.gateway.SharedRateLimiter(),
      onArrival: () => undefined,
    });
    this.#server = http.createServer((request, response) =>
      void this.reception.handle(request, response)
    );
  }

  async request(): Promise<http.ClientRequest> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as net.AddressInfo;
    const request = http.get({ port, headers: { host: "h" } });
    await wait.waitFor("the request", () => this.reception.open > 0);
    return request;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, "close");
  }
}

async function statusOf(request: http.ClientRequest): Promise<number> {
  const [answer] = await once(request, "response");
  (answer as http.IncomingMessage).resume();
  return (answer as http.IncomingMessage).statusCode ?? 0;
}

describe("a request to a host that has just started", () => {
  it("waits for the configuration", async () => {
    await using world = new World(2_000);
    const request = await world.request();
    world.view.apply(ANSWER, performance.now());
    expect(await statusOf(request)).to.equal(200);
  });

  it("is refused while its caller has time to ask another host", async () => {
    await using world = new World(300);
    const begun = performance.now();
    const request = await world.request();
    expect(await statusOf(request)).to.equal(503);
    expect(performance.now() - begun).to.be.within(145, 280);
    expect(world.served).to.deep.equal([]);
  });

  it("is forgotten when its caller leaves", async () => {
    await using world = new World(undefined);
    const request = await world.request();
    request.on("error", () => undefined);
    request.destroy();
    await wait.waitFor("its end", () => world.reception.open === 0);
    world.view.apply(ANSWER, performance.now());
    expect(world.served).to.deep.equal([]);
  });
});
