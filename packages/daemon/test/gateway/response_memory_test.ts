import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import {
  chunk,
  createContext,
  createDispatcher,
  respond,
  sendRequest,
  serve,
  serverRecord,
  type ServerScript,
  STREAM_HEAD,
} from "./dispatching.ts";

const MEBIBYTE = 2 ** 20;
/** Bytes of responses that a host may hold: it has 250 MB for everything. */
const MAX_HELD_BYTES = 50 * MEBIBYTE;
const TIMEOUT_MS = 20_000;
/** Time for which callers do not read, in milliseconds. */
const UNREAD_MS = 1_000;
const LARGE_BYTES = 15 * MEBIBYTE;
const SOUND_BYTES = 4 * MEBIBYTE;
const EVENT_BYTES = MEBIBYTE / 2;

function sized(bytes: number, sentBytes = bytes): ServerScript {
  return (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n`);
    socket.write(Buffer.alloc(sentBytes, "x"));
  };
}

/** A dispatcher that sends each request to the server with the next script. */
class Gateway implements AsyncDisposable {
  readonly #dispatcher;
  readonly #servers: net.Server[];
  readonly #server: http.Server;

  private constructor(servers: net.Server[]) {
    this.#servers = servers;
    this.#dispatcher = createDispatcher(
      servers.map((server, index) => {
        const { port } = server.address() as net.AddressInfo;
        return serverRecord(`s${index}`, `127.0.0.1:${port}`);
      }),
    );
    this.#server = http.createServer((request, response) => {
      const context = createContext("unsafe", false, {}, TIMEOUT_MS);
      void this.#dispatcher.serve({
        context,
        request,
        body: undefined,
        response,
      });
    });
  }

  static async start(scripts: readonly ServerScript[]): Promise<Gateway> {
    const servers = await Promise.all(scripts.map(async (script) => {
      const server = net.createServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", (head) => script(socket, head.toString()));
      });
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      return server;
    }));
    const gateway = new Gateway(servers);
    gateway.#server.listen(0, "127.0.0.1");
    await once(gateway.#server, "listening");
    return gateway;
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  get heldBytes(): number {
    return this.#dispatcher.bufferedBytes;
  }

  async waitUntilHeld(bytes: number): Promise<void> {
    await testing.wait.waitFor(
      `${bytes} bytes are held`,
      () => Promise.resolve(this.heldBytes >= bytes),
      { timeoutMs: TIMEOUT_MS, describe: () => `${this.heldBytes}` },
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    for (const server of this.#servers) server.close();
    await once(this.#server, "close");
  }
}

describe("memory of responses", function () {
  this.timeout(30_000);

  it("a sound answer is not dropped because others are too large", async () => {
    const stalled = Array.from(
      { length: 3 },
      () => sized(1e12, LARGE_BYTES),
    );
    await using gateway = await Gateway.start([
      ...stalled,
      sized(SOUND_BYTES),
    ]);
    const answers = stalled.map(() => sendRequest(gateway.port));
    answers.forEach((answer) => answer.catch(() => {}));
    await gateway.waitUntilHeld(stalled.length * LARGE_BYTES);
    const { isComplete, status, text } = await sendRequest(gateway.port);
    expect({ isComplete, status, length: text.length }).to.deep.equal({
      isComplete: true,
      status: 200,
      length: SOUND_BYTES,
    });
    expect(gateway.heldBytes).to.be.within(1, MAX_HELD_BYTES);
  });

  it("answers that callers do not read are held within the limit", async () => {
    const scripts = Array.from({ length: 6 }, () => sized(LARGE_BYTES));
    await using gateway = await Gateway.start(scripts);
    const requests = scripts.map(() => {
      const request = http.get({
        port: gateway.port,
        host: "127.0.0.1",
        agent: false,
      });
      request.on("error", () => {});
      request.on("response", (response) => response.on("error", () => {}));
      return request;
    });
    await gateway.waitUntilHeld(2 * LARGE_BYTES);
    let most = 0;
    const endsAt = performance.now() + UNREAD_MS;
    while (performance.now() < endsAt) {
      most = Math.max(most, gateway.heldBytes);
      await timers.setTimeout(10);
    }
    expect(gateway.heldBytes).to.be.at.least(2 * LARGE_BYTES);
    expect(most).to.be.at.most(MAX_HELD_BYTES);
    for (const request of requests) request.destroy();
    await testing.wait.waitFor(
      "all memory is released",
      () => Promise.resolve(gateway.heldBytes === 0),
      { timeoutMs: TIMEOUT_MS, describe: () => `${gateway.heldBytes}` },
    );
  });

  it("an event in many small chunks does not block the host", async () => {
    const head = `${STREAM_HEAD}${chunk("data: ")}`;
    const bytes = chunk("x").repeat(EVENT_BYTES);
    const { isComplete, text } = await serve("streaming", false, [
      respond(`${head}${bytes}${chunk("\n")}${chunk("\n")}0\r\n\r\n`),
    ]);
    expect(isComplete).to.equal(true);
    expect(text).to.equal(`data: ${"x".repeat(EVENT_BYTES)}\n\n`);
  });

  it("the body of a refusal is not read without end", async () => {
    const block = Buffer.alloc(64 * 1_024, "x");
    let written = 0;
    const refuse: ServerScript = (socket) => {
      socket.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n");
      const writeBlocks = () => {
        while (!socket.destroyed && written < 64 * MEBIBYTE) {
          written += block.length;
          if (socket.write(block)) continue;
          socket.once("drain", writeBlocks);
          return;
        }
      };
      writeBlocks();
    };
    let isClosed = false;
    await using gateway = await Gateway.start([
      (socket, head) => {
        socket.on("close", () => isClosed = true);
        refuse(socket, head);
      },
      // The caller waits for its second answer, so that its request goes on.
      () => {},
    ]);
    sendRequest(gateway.port).catch(() => {});
    await testing.wait.waitFor(
      "the connection is closed",
      () => Promise.resolve(isClosed),
      { timeoutMs: TIMEOUT_MS, describe: () => `${written} bytes` },
    );
    expect(written).to.be.below(64 * MEBIBYTE);
  });
});
