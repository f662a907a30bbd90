import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as bodyReader from "../../src/gateway/entry/body_reader.ts";

const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKS = "1\r\nx\r\n".repeat(2_000);
/** Pause between two writes, so that they are read one by one. */
const WRITE_INTERVAL_MS = 5;
const HELD_MS = 150;

/** A server that writes chunks without end, and what a reader reads of them. */
class EndlessBody implements Disposable {
  readonly reads: number[] = [];
  readonly reader: bodyReader.BodyReader;
  readonly #message: http.IncomingMessage;
  readonly #server: net.Server;

  private constructor(message: http.IncomingMessage, server: net.Server) {
    this.#message = message;
    this.#server = server;
    message.on("error", () => undefined);
    this.reader = new bodyReader.BodyReader(message);
  }

  static async start(): Promise<EndlessBody> {
    const server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.write(HEAD);
      const timer = setInterval(() => socket.write(CHUNKS), WRITE_INTERVAL_MS);
      socket.on("close", () => clearInterval(timer));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    const request = http.get({ host: "127.0.0.1", port, agent: false });
    const [message] = await once(request, "response");
    return new EndlessBody(message, server);
  }

  [Symbol.dispose](): void {
    this.#message.destroy();
    this.#server.close();
  }
}

describe("a reader of a body", () => {
  // The message resumed its connection after each read that held it.
  it("reads nothing while it is held, and goes on afterwards", async () => {
    using body = await EndlessBody.start();
    let release = () => {};
    body.reader.read((bytes) => {
      body.reads.push(bytes.length);
      release = body.reader.hold();
    });
    await wait.waitFor("a read", () => body.reads.length > 0);
    await timers.setTimeout(HELD_MS);
    const before = body.reads.length;
    await timers.setTimeout(HELD_MS);
    expect(body.reads).to.have.length(before);
    release();
    await wait.waitFor("another read", () => body.reads.length > before);
  });

  it("goes on only when all that hold it have released it", async () => {
    using body = await EndlessBody.start();
    const releases: (() => void)[] = [];
    body.reader.read((bytes) => {
      body.reads.push(bytes.length);
      if (releases.length > 0) return;
      releases.push(body.reader.hold(), body.reader.hold());
    });
    await wait.waitFor("a read", () => releases.length > 0);
    await timers.setTimeout(HELD_MS);
    const before = body.reads.length;
    releases[0]!();
    releases[0]!();
    await timers.setTimeout(HELD_MS);
    expect(body.reads).to.have.length(before);
    releases[1]!();
    await wait.waitFor("another read", () => body.reads.length > before);
  });

  it("joins the chunks of a read", async () => {
    using body = await EndlessBody.start();
    body.reader.read((bytes) => body.reads.push(bytes.length));
    await wait.waitFor("reads", () => body.reads.length > 3);
    expect(Math.max(...body.reads)).to.be.at.least(100);
  });
});
