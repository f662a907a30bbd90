import { once } from "node:events";
import * as net from "node:net";
import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as upstream from "../../src/gateway/entry/upstream.ts";

type Script = (socket: net.Socket) => void;

/** A server that answers each connection's first bytes by a script. */
async function serve(script: Script): Promise<net.Server> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => script(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function addressOf(server: net.Server): string {
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Sends a request and tells what became of it. */
async function exchange(script: Script, isReusable: boolean): Promise<string> {
  const server = await serve(script);
  try {
    const result = await upstream.send({
      address: addressOf(server),
      method: "GET",
      path: "/x",
      headers: ["Request-Id", "7f"],
      body: undefined,
      isReusable,
      signal: AbortSignal.timeout(2_000),
    });
    if (result.kind !== "answered") return result.kind;
    const parts: Buffer[] = [];
    result.message.on("data", (part: Buffer) => parts.push(part));
    const text = () => Buffer.concat(parts).toString();
    return await result.completed.then(
      () => `whole ${text()}`,
      () => `broken ${text()}`,
    );
  } finally {
    server.close();
  }
}

const HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: 7f\r\n";
const SIZED = `${HEAD}Content-Length: 5\r\n\r\n`;
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`;

describe("gateway upstream", () => {
  const cases: [string, Script, string][] = [
    [
      "a sized answer",
      (socket) => socket.write(`${SIZED}hello`),
      "whole hello",
    ],
    [
      "a chunked answer",
      (socket) => socket.write(`${CHUNKED}0\r\n\r\n`),
      "whole hello",
    ],
    [
      "a sized answer that is cut",
      (socket) => socket.end(`${SIZED}hel`),
      "broken hel",
    ],
    [
      "a chunked answer that is cut",
      (socket) => socket.end(CHUNKED),
      "broken hello",
    ],
    [
      "bytes after the answer",
      (socket) => socket.write(`${SIZED}hello, more`),
      "whole hello",
    ],
    [
      "a second answer",
      (socket) => socket.write(`${SIZED}hello${SIZED}again`),
      "whole hello",
    ],
    ["an answer that ends with its connection", (socket) => {
      socket.end(`${HEAD}\r\nhello`);
    }, "whole hello"],
    ["such an answer with a reset behind it", (socket) => {
      socket.write(`${HEAD}\r\nhello`);
      setImmediate(() => socket.resetAndDestroy());
    }, "broken hello"],
    ["such an answer with a later reset", (socket) => {
      socket.write(`${HEAD}\r\nhello`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    }, "broken hello"],
    [
      "bytes that are no answer",
      (socket) => socket.end("\x00\x01garbage\r\n\r\n"),
      "no-answer",
    ],
    ["a closed connection", (socket) => socket.end(), "no-answer"],
    ["a reset", (socket) => socket.resetAndDestroy(), "no-answer"],
  ];
  for (const [name, script, expected] of cases) {
    for (const isReusable of [false, true]) {
      const where = isReusable ? "pooled" : "fresh";
      it(`takes ${name} for ${expected} (${where})`, async () => {
        expect(await exchange(script, isReusable)).to.equal(expected);
      });
    }
  }

  it("says that nothing was sent where no connection came about", async () => {
    const server = await serve(() => {});
    const address = addressOf(server);
    server.close();
    await once(server, "close");
    const result = await upstream.send({
      address,
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      isReusable: false,
      signal: AbortSignal.timeout(2_000),
    });
    expect(result.kind).to.equal("not-sent");
  });

  it("gives up a server that does not begin its answer in time", async () => {
    const server = await serve(() => {});
    const begun = performance.now();
    const result = await upstream.send({
      address: addressOf(server),
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      isReusable: true,
      signal: AbortSignal.timeout(2_000),
      headTimeoutMs: 100,
    });
    server.close();
    expect(result.kind).to.equal("no-answer");
    expect(performance.now() - begun).to.be.within(90, 1_000);
  });

  it("does not send what was cancelled before", async () => {
    const result = await upstream.send({
      address: "127.0.0.1:1",
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      isReusable: false,
      signal: AbortSignal.abort(),
    });
    expect(result.kind).to.equal("not-sent");
  });
});
