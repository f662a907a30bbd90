import { once } from "node:events";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { Buffer } from "node:buffer";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as upstream from "../../src/gateway/entry/upstream.ts";

/** Time limit of a request in these tests, in milliseconds. */
const REQUEST_TIMEOUT_MS = 3_000;
/** Bytes that a server may send in vain before its connection is closed. */
const MAX_WASTED_BYTES = 8 * 2 ** 20;

/** A server that answers with raw bytes. */
class RawServer implements Disposable {
  connections = 0;
  /** Open connections. */
  readonly sockets = new Set<net.Socket>();
  readonly #server: net.Server;

  private constructor(onData: (socket: net.Socket, text: string) => void) {
    this.#server = net.createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("data", (data) => onData(socket, data.toString()));
    });
  }

  static async start(
    onData: (socket: net.Socket, text: string) => void,
  ): Promise<RawServer> {
    const server = new RawServer(onData);
    server.#server.listen(0, "127.0.0.1");
    await once(server.#server, "listening");
    return server;
  }

  get address(): string {
    const { port } = this.#server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  [Symbol.dispose](): void {
    for (const socket of this.sockets) socket.destroy();
    this.#server.close();
  }
}

function send(
  server: RawServer,
  id: string,
  isReusable: boolean,
): Promise<upstream.UpstreamResult> {
  return upstream.send({
    address: server.address,
    method: "GET",
    path: "/x",
    headers: ["Request-Id", id],
    body: undefined,
    isReusable,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });
}

/** Sends a request and reads its answer; describes the result. */
async function exchange(
  server: RawServer,
  id: string,
  isReusable = true,
): Promise<string> {
  const result = await send(server, id, isReusable);
  if (result.kind !== "answered") return result.kind;
  // Decides like a dispatcher on the id that the answer bears.
  if (result.message.headers["request-id"] !== undefined) {
    result.keepConnection();
  }
  const parts: Buffer[] = [];
  result.message.on("data", (part: Buffer) => parts.push(part));
  return await result.completed.then(
    () => {
      const echoed = result.message.headers["request-id"] ?? "no id";
      return `${echoed}: ${Buffer.concat(parts).toString()}`;
    },
    () => "incomplete",
  );
}

function answer(id: string, isIdentified: boolean): string {
  const body = `for ${id}`;
  return "HTTP/1.1 200 OK\r\n" + (isIdentified ? `Request-Id: ${id}\r\n` : "") +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function requestIds(text: string): string[] {
  return [...text.matchAll(/request-id: (\S+)/gi)]
    .map((match) => match[1] ?? "");
}

describe("a second copy of an answer on a kept connection", () => {
  for (const isIdentified of [true, false]) {
    for (const delayMs of [0, 5, 30]) {
      const name = isIdentified ? "with its id" : "without an id";
      it(`${name}, ${delayMs} ms late, is not taken for the next answer`, async () => {
        using server = await RawServer.start((socket, text) => {
          for (const id of requestIds(text)) {
            socket.write(answer(id, isIdentified));
            setTimeout(
              () => socket.write(answer(id, isIdentified)),
              delayMs,
            );
          }
        });
        for (let request = 0; request < 12; request += 1) {
          const id = `id-${request}`;
          const result = await exchange(server, id);
          const isOwn = result.endsWith(`for ${id}`);
          const bearsOtherId = isIdentified && !result.startsWith(`${id}:`);
          expect(isOwn || bearsOtherId || result === "no-answer", result)
            .to.equal(true);
          await timers.setTimeout(request % 3 * 10);
        }
      });
    }
  }

  it("without end ends the connection that it is sent on", async () => {
    const block = Buffer.alloc(64 * 2 ** 10, "x");
    let written = 0;
    using server = await RawServer.start((socket, text) => {
      for (const id of requestIds(text)) socket.write(answer(id, true));
      const write = () => {
        while (!socket.destroyed && written < MAX_WASTED_BYTES) {
          written += block.length;
          if (socket.write(block)) continue;
          socket.once("drain", write);
          return;
        }
      };
      setTimeout(write, 50);
    });
    expect(await exchange(server, "id-1")).to.equal("id-1: for id-1");
    await testing.wait.waitFor(
      "the connection is closed",
      () => Promise.resolve(server.sockets.size === 0),
      { timeoutMs: 1_000, describe: () => `${written} bytes` },
    );
    expect(written).to.be.below(MAX_WASTED_BYTES);
  });

  it("does not keep a connection whose answers bear no id", async () => {
    using server = await RawServer.start((socket, text) => {
      for (const id of requestIds(text)) socket.write(answer(id, false));
    });
    for (let request = 0; request < 4; request += 1) {
      await exchange(server, `id-${request}`);
      await timers.setTimeout(5);
    }
    expect(server.connections).to.equal(4);
  });

  it("keeps a connection whose answers bear their ids", async () => {
    using server = await RawServer.start((socket, text) => {
      for (const id of requestIds(text)) socket.write(answer(id, true));
    });
    for (let request = 0; request < 4; request += 1) {
      expect(await exchange(server, `id-${request}`))
        .to.equal(`id-${request}: for id-${request}`);
      await timers.setTimeout(5);
    }
    expect(server.connections).to.equal(1);
  });
});

describe("bytes of a server that never end", () => {
  const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const cases: [name: string, start: string, repeated: string][] = [
    ["header lines", "HTTP/1.1 200 OK\r\n", "X-More: 1234567890123456\r\n"],
    ["one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "0123456789abcdef"],
    ["a status line", "HTTP/1.1 200 ", "0123456789abcdef"],
    ["no protocol at all", "", "0123456789abcdef"],
    ["empty lines", "", "\r\n\r\n\r\n\r\n"],
    ["interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"],
    ["a chunk extension", `${CHUNKED}5;x=`, "0123456789abcdef"],
    ["trailers", `${CHUNKED}0\r\n`, "X-More: 1234567890123456\r\n"],
  ];
  for (const [name, start, repeated] of cases) {
    it(`in ${name} end with the connection`, async () => {
      const block = Buffer.from(repeated.repeat(4_096));
      let sent = 0;
      using server = await RawServer.start((socket) => {
        socket.write(start);
        const write = () => {
          while (!socket.destroyed && sent < 16 * MAX_WASTED_BYTES) {
            sent += block.length;
            if (!socket.write(block)) {
              socket.once("drain", write);
              return;
            }
          }
        };
        write();
      });
      const startedAt = performance.now();
      const result = await exchange(server, "id-1", false);
      expect(result).to.be.oneOf(["no-answer", "incomplete"]);
      expect(performance.now() - startedAt)
        .to.be.below(REQUEST_TIMEOUT_MS / 2);
      expect(sent).to.be.below(MAX_WASTED_BYTES);
      await timers.setTimeout(20);
      expect(server.sockets.size).to.equal(0);
    });
  }
});
