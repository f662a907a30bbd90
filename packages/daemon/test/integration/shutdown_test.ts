import { once } from "node:events";
import * as net from "node:net";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const MIB = 2 ** 20;
const LATER = { headers: { "ebonypath-tier": "later" } };
/** Deferred requests of a kind: every host gets some of them. */
const DEFERRED = 8;
/** Longer than a call: every kept connection sees the host leave. */
const DRAIN_DELAY_MS = 500;
/** An answer that no socket buffers for a reader that does not read. */
const LARGE_BYTES = 12 * MIB;
/** Characters of an answer that are shown if it is not the expected one. */
const SHOWN_CHARACTERS = 1_000;
/** Tokens of a stream that no socket buffers. */
const STREAMED_TOKENS = 40_000;

/** A caller that reads nothing of its answer until it is told to. */
class SlowCaller {
  readonly #socket: net.Socket;

  constructor(origin: string, key: string, path: string, body: string) {
    const { hostname, port } = new URL(origin);
    this.#socket = net.connect({ host: hostname, port: Number(port) });
    this.#socket.pause();
    this.#socket.on("error", () => undefined);
    this.#socket.write(
      `POST ${path} HTTP/1.1\r\nhost: ${hostname}\r\n` +
        `authorization: Bearer ${key}\r\nconnection: close\r\n` +
        "content-type: application/json\r\n" +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
  }

  /** Waits until the head of the answer is there, without reading on. */
  async waitForHead(): Promise<void> {
    await once(this.#socket, "readable");
  }

  /** Reads the answer to the end of its connection. */
  async read(): Promise<string> {
    const parts: string[] = [];
    this.#socket.setEncoding("latin1");
    this.#socket.on("data", (part: string) => parts.push(part));
    this.#socket.resume();
    await once(this.#socket, "close");
    return parts.join("");
  }
}

describe("a host that gets SIGTERM", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      configuration: scenarios.withDeferredOrders(),
      limits: {
        "max_body_bytes": 2 * LARGE_BYTES,
        "drain_delay_ms": DRAIN_DELAY_MS,
      },
      engines: [{ generatedTokens: STREAMED_TOKENS }],
      plains: [{ callMs: 200 }, { callMs: 200 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(async () => {
    for (const engine of scenario.engines) {
      engine.faults.refusesRequests = false;
    }
    for (const host of scenario.fleet.hosts) {
      const { lines } = host.process;
      const isStopped = lines.some((line) => /event=draining/.test(line));
      if (isStopped) await host.restart();
    }
    await scenario.waitUntilServing();
    expect(scenario.violations).to.deep.equal([]);
  });

  async function expectCleanExit(host: number): Promise<void> {
    const exit = await scenario.fleet.host(host).process.waitForExit();
    expect(exit).to.deep.equal({ code: 0, signal: null });
  }

  const slowAnswers = [
    {
      title: "a large answer",
      path: "/services/orders/orders",
      body: () => JSON.stringify({ orderId: "x".repeat(LARGE_BYTES) }),
      end: /x\\"}"}$/,
    },
    {
      title: "a stream",
      path: "/v1/chat/completions",
      body: () =>
        JSON.stringify({
          model: scenarios.MODEL,
          stream: true,
          messages: [{ role: "user", content: "streamed" }],
        }),
      end: /data: \[DONE\]\n\n\r\n0\r\n\r\n$/,
    },
  ];
  for (const { title, path, body, end } of slowAnswers) {
    it(`sends ${title} to its end to a caller that reads late`, async () => {
      const host = scenario.fleet.host(3);
      const key = scenario.keys.get("web-shop")?.key ?? "";
      const slow = new SlowCaller(host.callers, key, path, body());
      await slow.waitForHead();
      host.process.signal("SIGTERM");
      await waitUntilRefusing(host.callers);
      const text = await slow.read();
      expect(text.slice(-40), text.slice(0, SHOWN_CHARACTERS)).to.match(end);
      await expectCleanExit(3);
    });
  }

  /** Waits until the host takes no connections: it only finishes its work. */
  async function waitUntilRefusing(origin: string): Promise<void> {
    const { hostname, port } = new URL(origin);
    await wait.waitFor("a refused connection", async () => {
      const socket = net.connect({ host: hostname, port: Number(port) });
      const [error] = await Promise.race([
        once(socket, "connect").then(() => [undefined]),
        once(socket, "error"),
      ]).catch((cause: unknown) => [cause]);
      socket.destroy();
      return error !== undefined;
    });
  }

  it("finishes deferred work, also what waits for a server", async () => {
    const [engine] = scenario.engines;
    engine!.faults.refusesRequests = true;
    const chats = await Promise.all(
      Array.from({ length: DEFERRED }, (_, number) => deferChat(`w${number}`)),
    );
    await waitUntilRunning(chats);
    const ids = Array.from({ length: DEFERRED }, (_, n) => `deferred-${n}`);
    const orders = await Promise.all(ids.map(deferOrder));
    const { callers, process } = scenario.fleet.host(2);
    process.signal("SIGTERM");
    await waitUntilRefusing(callers);
    const logged = process.lines.length;
    await process.waitFor("further tries", () => {
      const lines = process.lines.slice(logged);
      return lines.filter((line) => /attempt-failed/.test(line)).length > 1;
    });
    engine!.faults.refusesRequests = false;
    await expectCleanExit(2);
    for (const path of [...chats, ...orders]) {
      const reply = await collect(path);
      expect(reply.status, reply.text).to.equal(200);
    }
    expect(ids.map((id) => scenario.executionsOf(id))).to.deep.equal(
      ids.map(() => 1),
    );
  });

  async function deferChat(text: string): Promise<string> {
    const asked = scenario.caller(0);
    const tokens = { "max_tokens": 1 };
    return locationOf(await asked.chat(scenarios.MODEL, text, tokens, LATER));
  }

  async function deferOrder(orderId: string): Promise<string> {
    const asked = scenario.caller(0);
    const options = { ...LATER, body: { orderId } };
    return locationOf(
      await asked.call("POST", "/services/orders/orders", options),
    );
  }

  function locationOf(reply: caller.Reply): string {
    expect(reply.status, reply.text).to.equal(202);
    return reply.headers["location"] as string;
  }

  async function waitUntilRunning(paths: readonly string[]): Promise<void> {
    await wait.waitFor("the assignments", async () => {
      const polls = await Promise.all(
        paths.map((path) => scenario.caller(1).call("GET", path)),
      );
      return polls.every((poll) => poll.text.includes('"running"'));
    });
  }

  async function collect(path: string): Promise<caller.Reply> {
    return await wait.waitFor("the answer", async () => {
      const reply = await scenario.caller(1).call("GET", path);
      return [202, 503].includes(reply.status) ? undefined : reply;
    }, { timeoutMs: 30_000, intervalMs: 100 });
  }
});
