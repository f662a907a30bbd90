import { once } from "node:events";
import * as net from "node:net";
import * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as v from "valibot";
import * as listener from "../../src/listener/mod.ts";

const MAX_HEADER_BYTES = 2_048;
const LIMITS = v.parse(protocol.settings.Limits, {
  maxHeaderBytes: MAX_HEADER_BYTES,
  headerTimeoutMs: 200,
  bodyTimeoutMs: 200,
});

/** Bytes sent on a new connection, and the expected response status. */
const BAD_INPUT: [title: string, bytes: string, status: number][] = [
  ["bytes that are not HTTP", "\u0000\u0001\u0002\r\n\r\n", 400],
  ["a TLS client hello", "\u0016\u0003\u0001\u0000\u0005hello\r\n\r\n", 400],
  ["an unknown method", "STEAL / HTTP/1.1\r\nhost: a\r\n\r\n", 400],
  ["a request without a Host header", "GET / HTTP/1.1\r\n\r\n", 400],
  [
    "a lone CR in a header",
    "GET / HTTP/1.1\r\nhost: a\r\nx: a\rb: c\r\n\r\n",
    400,
  ],
  [
    "a NUL in a header",
    "GET / HTTP/1.1\r\nhost: a\r\nx: a\u0000b\r\n\r\n",
    400,
  ],
  ["a space before a colon", "GET / HTTP/1.1\r\nhost : a\r\n\r\n", 400],
  [
    "a negative Content-Length",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
    400,
  ],
  [
    "two Content-Length headers",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    400,
  ],
  [
    "Content-Length with chunked encoding",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    400,
  ],
  [
    "an oversized header",
    `GET / HTTP/1.1\r\nhost: a\r\nx: ${"a".repeat(MAX_HEADER_BYTES)}\r\n\r\n`,
    413,
  ],
  [
    "an oversized request target",
    `GET /${"a".repeat(2 * MAX_HEADER_BYTES)} HTTP/1.1\r\nhost: a\r\n\r\n`,
    413,
  ],
  ["incomplete headers", "GET / HTTP/1.1\r\nhost: a\r\nx: ", 408],
];

/** Time for which the event loop stands still, in milliseconds. */
const STALL_MS = 600;

describe("listener", () => {
  let started: listener.Listener;
  let handled: number;

  beforeEach(async () => {
    handled = 0;
    started = await listener.listen({
      name: "callers",
      endpoint: "127.0.0.1:0",
      limits: LIMITS,
      certificate: undefined,
      handler: (_request, response) => {
        handled += 1;
        response.end("fine");
      },
    });
  });

  afterEach(() => started[Symbol.asyncDispose]());

  function connect(): net.Socket {
    const endpoint = protocol.settings.parseEndpoint(started.address);
    return net.connect(endpoint?.port ?? 0, endpoint?.ip);
  }

  async function readAll(socket: net.Socket): Promise<string> {
    let text = "";
    for await (const part of socket.setEncoding("latin1")) text += part;
    return text;
  }

  for (const [title, bytes, status] of BAD_INPUT) {
    it(`answers ${status} to ${title} and stays up`, async () => {
      const socket = connect();
      socket.write(bytes, "latin1");
      const answer = await readAll(socket);
      expect(answer).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      expect(handled).to.equal(0);
      const next = await fetch(`http://${started.address}/`);
      expect(await next.text()).to.equal("fine");
    });
  }

  it("responds to a client that has half-closed its connection", async () => {
    const socket = connect();
    socket.end("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    expect(await readAll(socket)).to.match(/^HTTP\/1.1 200 [^]*fine$/);
  });

  // The client had gone to another host long before.
  it("handles no request after a stall whose client has left", async () => {
    const socket = connect();
    await once(socket, "connect");
    socket.write("POST /left HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
    socket.destroy();
    const until = performance.now() + STALL_MS;
    while (performance.now() < until);
    const waiting = await fetch(`http://${started.address}/waits`);
    expect(waiting.status).to.equal(200);
    expect(handled).to.equal(1);
  });

  it("survives a client that resets its connection", async () => {
    const socket = connect();
    await once(socket, "connect");
    socket.write("GET / HTTP/1.1\r\n");
    socket.resetAndDestroy();
    expect((await fetch(`http://${started.address}/`)).status).to.equal(200);
  });
});
