import { EventEmitter, once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import process from "node:process";
import * as timers from "node:timers/promises";
import { Buffer } from "node:buffer";
import { expect } from "chai";
import * as upstream from "../../src/gateway/entry/upstream.ts";

type ServerScript = (socket: net.Socket) => void;

/** Starts a server that runs a script on the first bytes of each connection. */
async function serve(script: ServerScript): Promise<net.Server> {
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

/** Sends a request to such a server and describes the result. */
async function describeResult(
  script: ServerScript,
  isReusable: boolean,
): Promise<string> {
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
      () => `complete ${text()}`,
      () => `incomplete ${text()}`,
    );
  } finally {
    server.close();
  }
}

const HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: 7f\r\n";
const SIZED_HEAD = `${HEAD}Content-Length: 5\r\n\r\n`;
const UNTERMINATED_CHUNKS =
  `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`;

describe("gateway upstream", () => {
  it("leaves no listener on a connection that many requests use", async () => {
    let connections = 0;
    const server = http.createServer((_request, response) => {
      response.end("ok");
    });
    server.on("connection", () => connections += 1);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const warnings: Error[] = [];
    const onWarning = (warning: Error) => warnings.push(warning);
    process.on("warning", onWarning);
    try {
      for (
        let sent = 0;
        sent < 4 * EventEmitter.defaultMaxListeners;
        sent += 1
      ) {
        const result = await upstream.send({
          address: addressOf(server),
          method: "GET",
          path: "/x",
          headers: ["Host", "h", "Request-Id", "7f"],
          body: undefined,
          isReusable: true,
          signal: AbortSignal.timeout(2_000),
        });
        if (result.kind !== "answered") throw new Error(result.reason);
        result.keepConnection();
        result.message.resume();
        await result.completed;
        await timers.setImmediate();
      }
    } finally {
      process.off("warning", onWarning);
      server.closeAllConnections();
      server.close();
    }
    expect(connections).to.equal(1);
    expect(warnings).to.deep.equal([]);
  });

  for (
    const address of [
      "127.0.0.1:70000",
      "127.0.0.1:0",
      "999.0.0.1:80",
      "localhost:80",
      "[::1]:80",
      "",
    ]
  ) {
    it(`sends nothing to the invalid address "${address}"`, async () => {
      const result = await upstream.send({
        address,
        method: "GET",
        path: "/x",
        headers: [],
        body: undefined,
        isReusable: true,
        signal: AbortSignal.timeout(2_000),
      });
      expect(result.kind).to.equal("not-sent");
    });
  }

  const cases: [string, ServerScript, string][] = [
    [
      "a response with a length",
      (socket) => socket.write(`${SIZED_HEAD}hello`),
      "complete hello",
    ],
    [
      "a chunked response",
      (socket) => socket.write(`${UNTERMINATED_CHUNKS}0\r\n\r\n`),
      "complete hello",
    ],
    [
      "a truncated response with a length",
      (socket) => socket.end(`${SIZED_HEAD}hel`),
      "incomplete hel",
    ],
    [
      "a truncated chunked response",
      (socket) => socket.end(UNTERMINATED_CHUNKS),
      "incomplete hello",
    ],
    [
      "a response with extra bytes behind it",
      (socket) => socket.write(`${SIZED_HEAD}hello, more`),
      "complete hello",
    ],
    [
      "a response with another one behind it",
      (socket) => socket.write(`${SIZED_HEAD}hello${SIZED_HEAD}again`),
      "complete hello",
    ],
    ["a close-delimited response", (socket) => {
      socket.end(`${HEAD}\r\nhello`);
    }, "complete hello"],
    ["a close-delimited response with a reset behind it", (socket) => {
      socket.write(`${HEAD}\r\nhello`);
      setImmediate(() => socket.resetAndDestroy());
    }, "incomplete hello"],
    ["a close-delimited response with a later reset", (socket) => {
      socket.write(`${HEAD}\r\nhello`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    }, "incomplete hello"],
    [
      "bytes that are not HTTP",
      (socket) => socket.end("\x00\x01garbage\r\n\r\n"),
      "no-answer",
    ],
    ["a closed connection", (socket) => socket.end(), "no-answer"],
    ["a reset", (socket) => socket.resetAndDestroy(), "no-answer"],
  ];
  for (const [name, script, expected] of cases) {
    for (const isReusable of [false, true]) {
      const connection = isReusable ? "keep-alive" : "new connection";
      it(`reports ${name} as ${expected} (${connection})`, async () => {
        expect(await describeResult(script, isReusable)).to.equal(expected);
      });
    }
  }

  it("reports not-sent if the connection is refused", async () => {
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

  it("reports no-answer if the response head exceeds its time limit", async () => {
    const server = await serve(() => {});
    const startedAt = performance.now();
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
    expect(performance.now() - startedAt).to.be.within(90, 1_000);
  });

  it("does not send a request that is already cancelled", async () => {
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
