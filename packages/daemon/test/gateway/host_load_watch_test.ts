import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import { expect } from "chai";
import * as connectionMeter from "../../src/gateway/entry/connection_meter.ts";
import * as hostLoadWatch from "../../src/gateway/entry/host_load_watch.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import { EMPTY_METADATA } from "./request_metadata.ts";

const SECOND_MS = 1_000;
/** More than a caller can send before it reads. */
const BODY_BYTES = 8_000_000;

/** A server whose host has little to serve with. */
class Fixture implements AsyncDisposable {
  /** Time for which the event loop has been active, in milliseconds. */
  active = 0;
  memory = 0;
  served = 0;
  #now = 0;
  readonly #server = http.createServer((request, response) => {
    if (this.watch.refuses(request, response)) return;
    this.served += 1;
    request.resume().once("end", () => response.end("ok"));
  });
  readonly watch: hostLoadWatch.HostLoadWatch;

  constructor(limits: Partial<hostLoadWatch.HostLimits> = {}) {
    this.watch = new hostLoadWatch.HostLoadWatch({
      limits: {
        connections: 100,
        linkBitsPerSecond: 0,
        thresholds: { handOn: 0.85, refuse: 0.95 },
        ...limits,
      },
      meter: new connectionMeter.ConnectionMeter(this.#server),
      dialect: {
        readRequest: () => EMPTY_METADATA,
        refusalHeaders: (_id, retryAfterMs) => ({
          "retry-after-ms": String(retryAfterMs),
        }),
      },
      metrics: new GatewayMetrics(),
      memoryUse: () => this.memory,
      loopUse: (now, before) => {
        const active = (now?.active ?? this.active) - (before?.active ?? 0);
        return { active, idle: 0, utilization: active / SECOND_MS };
      },
      clock: () => this.#now,
    });
    this.seconds(1);
  }

  /** Lets seconds go by, with this much to do for the processor. */
  seconds(count: number, processor = 0): void {
    for (let second = 0; second < count; second += 1) {
      this.#now += SECOND_MS;
      this.active += processor * SECOND_MS;
      this.watch.measure();
    }
  }

  async request(): Promise<Response> {
    if (!this.#server.listening) {
      this.#server.listen(0, "127.0.0.1");
      await once(this.#server, "listening");
    }
    const { port } = this.#server.address() as net.AddressInfo;
    const response = await fetch(`http://127.0.0.1:${port}/`, {
      method: "POST",
      body: "x".repeat(BODY_BYTES),
    });
    await response.arrayBuffer();
    return response;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.watch[Symbol.dispose]();
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

describe("the watch of a host's load", () => {
  it("hands on while the processor has no time left", async () => {
    await using fixture = new Fixture();
    fixture.seconds(2, 0.9);
    expect(fixture.watch.isHandingOn).to.equal(true);
    expect((await fixture.request()).status).to.equal(200);
  });

  it("tells refused callers when to come back, and that nothing ran", async () => {
    await using fixture = new Fixture();
    fixture.memory = 1;
    fixture.seconds(4);
    const responses = [];
    for (let sent = 0; sent < 10; sent += 1) {
      responses.push(await fixture.request());
    }
    const refused = responses.filter(({ status }) => status === 503);
    expect(refused.length).to.be.above(3);
    expect(fixture.served).to.equal(responses.length - refused.length);
    for (const { headers } of refused) {
      const returnMs = Number(headers.get("retry-after-ms"));
      expect(returnMs).to.be.within(1_000, 4_000);
      expect(headers.get("connection")).to.equal("close");
    }
  });

  it("hands on while callers have most of the connections", async () => {
    await using fixture = new Fixture({ connections: 1 });
    await fixture.request();
    fixture.seconds(2);
    expect(fixture.watch.isHandingOn).to.equal(true);
  });

  it("hands on while the link is full", async () => {
    await using fixture = new Fixture({ linkBitsPerSecond: 8_000 });
    for (let second = 0; second < 2; second += 1) {
      await fixture.request();
      fixture.seconds(1);
    }
    expect(fixture.watch.isHandingOn).to.equal(true);
  });
});
