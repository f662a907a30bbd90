import { once } from "node:events";
import * as net from "node:net";
import { freePort, wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as callers from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Statuses of no answer; `inference_client_test.ts` has more of them. */
const STATUSES = ["099", "600", "2000"];
/** Time in which a server that failed gets a request again, in milliseconds. */
const SENT_TIMEOUT_MS = 25_000;

/** Stands before a server and changes the status of its answers. */
class StatusProxy implements AsyncDisposable {
  /** Status of all answers; those of the server if absent. */
  status: string | undefined;
  /** Number of answers that it changed. */
  changed = 0;
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();

  private constructor(target: number) {
    this.#server = net.createServer((client) => {
      const server = net.connect(target, "127.0.0.1");
      for (const socket of [client, server]) {
        this.#sockets.add(socket);
        socket.on("error", () => {});
      }
      client.pipe(server);
      server.on("data", (data) => client.write(this.#change(data)));
      server.on("close", () => client.destroy());
      client.on("close", () => server.destroy());
    });
  }

  static async start(port: number, target: number): Promise<StatusProxy> {
    const proxy = new StatusProxy(target);
    await once(proxy.#server.listen(port, "127.0.0.1"), "listening");
    return proxy;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await once(this.#server.close(), "close");
  }

  #change(data: Uint8Array): string {
    const text = new TextDecoder("latin1").decode(data);
    if (this.status === undefined) return text;
    this.changed += 1;
    return text.replace(/^HTTP\/1\.1 \d+/, `HTTP/1.1 ${this.status}`);
  }
}

describe("answers of a status that is none", () => {
  let scenario: scenarios.Scenario;
  let proxies: StatusProxy[] = [];

  before(async () => {
    const [engine = 0, plain = 0, ...ports] = await freePort.freePorts(4);
    proxies = await Promise.all(
      [engine, plain].map((target, index) =>
        StatusProxy.start(ports[index] ?? 0, target)
      ),
    );
    const [beforeEngine, beforePlain] = ports.map((port) =>
      `http://127.0.0.1:${port}`
    );
    scenario = await scenarios.Scenario.start({
      hosts: 1,
      engines: [{ port: engine, announcedAddress: beforeEngine as string }],
      plains: [{ port: plain, announcedAddress: beforePlain as string }],
    });
  });

  after(async () => {
    await scenario?.[Symbol.asyncDispose]();
    for (const proxy of proxies) await proxy[Symbol.asyncDispose]();
  });

  const changedAnswers = () =>
    proxies.reduce((sum, { changed }) => sum + changed, 0);

  const requests: [
    name: string,
    send: (caller: callers.Caller) => Promise<callers.Reply>,
  ][] = [
    ["a call", (caller) => caller.call("GET", "/services/orders/stock/1")],
    ["a call that must not run twice", (caller) => caller.order("o1")],
    ["a chat", (caller) => caller.chat(scenarios.MODEL, "hello")],
    [
      "a stream",
      (caller) => caller.chat(scenarios.MODEL, "hello", { stream: true }),
    ],
  ];
  for (const [name, send] of requests) {
    for (const status of STATUSES) {
      it(`are not passed on to ${name}: ${status}`, async () => {
        for (const proxy of proxies) proxy.status = status;
        const reply = await wait.waitFor("a changed answer", async () => {
          const changed = changedAnswers();
          const received = await send(scenario.caller());
          return changedAnswers() > changed ? received : undefined;
        }, { timeoutMs: SENT_TIMEOUT_MS });
        expect(reply.outcome, reply.text).to.equal("may-have-run");
        expect(reply.status).to.be.within(502, 504);
      });
    }
  }
});
