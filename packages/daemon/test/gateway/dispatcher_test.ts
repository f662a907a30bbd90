import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as hostDrain from "../../src/gateway/entry/host_drain.ts";
import {
  BUSY_RESPONSE,
  chunk,
  completeStream,
  createContext,
  createDispatcher,
  ERROR_RESPONSE,
  event,
  gone,
  OK_RESPONSE,
  OVERLOADED_RESPONSE,
  reset,
  respond,
  sendRequest,
  serve,
  serverRecord,
  type ServerScript,
  stream,
  STREAM_HEAD,
  UNSIGNED_RESPONSE,
  UNSIGNED_STREAM,
} from "./dispatching.ts";

/** Time limit of a request that the limit of memory is to end, however busy the machine. */
const LONG_TIMEOUT_MS = 25_000;
/** Answers without end that arrive at the same time. */
const ENDLESS_ANSWERS = 50;
/** Bytes of them that may be buffered: a host has 250 MB for everything. */
const MAX_ENDLESS_BYTES = 50 * 2 ** 20;

describe("gateway dispatcher", () => {
  type Case = [
    name: string,
    kind: gateway.RouteKind,
    scripts: ServerScript[],
    status: number,
    arrivals: number[],
  ];
  const cases: Case[] = [
    [
      "forwards a response",
      "unsafe",
      [respond(OK_RESPONSE), respond(OK_RESPONSE)],
      200,
      [1, 0],
    ],
    [
      "tries another server if one did not run the request",
      "unsafe",
      [respond(BUSY_RESPONSE), respond(OK_RESPONSE)],
      200,
      [1, 1],
    ],
    [
      "does not retry an unsafe request that may have run",
      "unsafe",
      [reset, respond(OK_RESPONSE)],
      502,
      [1, 0],
    ],
    [
      "forwards the error response of an unsafe request",
      "unsafe",
      [respond(ERROR_RESPONSE), respond(OK_RESPONSE)],
      500,
      [1, 0],
    ],
    [
      "retries a safe request after a connection reset",
      "safe",
      [reset, respond(OK_RESPONSE)],
      200,
      [1, 1],
    ],
    [
      "retries a safe request after an error response",
      "safe",
      [respond(ERROR_RESPONSE), respond(OK_RESPONSE)],
      200,
      [1, 1],
    ],
    [
      "runs a safe request on no more servers than maxAttempts",
      "safe",
      [reset, respond(ERROR_RESPONSE), respond(OK_RESPONSE)],
      500,
      [1, 1, 0],
    ],
    [
      "does not pass on a 503 that does not state that the request was not run",
      "unsafe",
      [respond(OVERLOADED_RESPONSE), respond(OK_RESPONSE)],
      502,
      [1, 0],
    ],
    [
      "retries a safe request after such a 503, and ends without one",
      "safe",
      [respond(OVERLOADED_RESPONSE), respond(OVERLOADED_RESPONSE)],
      502,
      [1, 1],
    ],
    [
      "does not take an unsigned success for the server's answer",
      "unsafe",
      [respond(UNSIGNED_RESPONSE), respond(OK_RESPONSE)],
      502,
      [1, 0],
    ],
    [
      "retries a safe request after an unsigned success",
      "safe",
      [respond(UNSIGNED_RESPONSE), respond(OK_RESPONSE)],
      200,
      [1, 1],
    ],
    [
      "does not relay an unsigned stream",
      "streaming",
      [respond(UNSIGNED_STREAM), stream(3, false)],
      502,
      [1, 0],
    ],
    [
      "responds with 503 if no server ran the request",
      "unsafe",
      [respond(BUSY_RESPONSE), respond(BUSY_RESPONSE)],
      503,
      [1, 1],
    ],
    [
      "does not respond with 503 if a server may have run the request",
      "safe",
      [reset, respond(BUSY_RESPONSE)],
      502,
      [1, 1],
    ],
    [
      "does not restart a stream that is not resumable",
      "streaming",
      [reset, stream(3, false)],
      502,
      [1, 0],
    ],
  ];
  for (const [name, kind, scripts, status, arrivals] of cases) {
    it(name, async () => {
      const observed = await serve(kind, false, scripts);
      expect(observed.status).to.equal(status);
      expect(observed.arrivals).to.deep.equal(arrivals);
    });
  }

  it("spends no retry on servers that it could not connect to", async () => {
    const scripts = [gone, gone, respond(OK_RESPONSE)];
    const { arrivals, status } = await serve("unsafe", false, scripts, [], 0);
    expect(status).to.equal(200);
    expect(arrivals).to.deep.equal([0, 0, 1]);
  });

  it("spends a retry when a server may have received the request", async () => {
    for (const first of [reset, respond(BUSY_RESPONSE)]) {
      const scripts = [gone, first, respond(OK_RESPONSE)];
      const { arrivals } = await serve("safe", false, scripts, [], 0);
      expect(arrivals).to.deep.equal([0, 1, 0]);
    }
  });

  it("resumes a stream at another server if the route allows it", async () => {
    const observed = await serve("streaming", true, [
      stream(3, true),
      stream(6, false),
    ]);
    expect(observed.text).to.equal([1, 2, 3, 4, 5, 6].map(event).join(""));
    expect(observed.isComplete).to.equal(true);
  });

  it("resumes a stream only at the software version that began it", async () => {
    const scripts = [stream(3, true), stream(6, false)];
    const same = await serve("streaming", true, scripts, ["v2", "v2"]);
    expect(same.selectedFor).to.deep.equal([undefined, "v2"]);
    expect(same.isComplete).to.equal(true);
    const other = await serve("streaming", true, scripts, ["v1", "v2"]);
    expect(other.selectedFor).to.deep.equal([undefined, "v1"]);
    expect(other.arrivals).to.deep.equal([1, 0]);
    expect(other.text).to.equal([1, 2, 3].map(event).join(""));
    expect(other.isComplete).to.equal(false);
  });

  it("retries at any software version before the stream has begun", async () => {
    const scripts = [respond(BUSY_RESPONSE), reset, stream(3, false)];
    const versions = ["v1", "v2", "v3"];
    const observed = await serve("streaming", true, scripts, versions);
    expect(observed.selectedFor).to.deep.equal([
      undefined,
      undefined,
      undefined,
    ]);
    expect(observed.isComplete).to.equal(true);
  });

  // The end of a body that came with its head was handled before the body.
  it("forwards a response that arrives in one piece whole", async () => {
    const cases: [gateway.RouteKind, string, string][] = [
      ["unsafe", OK_RESPONSE, "ok"],
      ["streaming", `${STREAM_HEAD}${chunk(event(1))}0\r\n\r\n`, event(1)],
      ["streaming", completeStream([1, 2, 3]), [1, 2, 3].map(event).join("")],
    ];
    for (const [kind, response, text] of cases) {
      const observed = await serve(kind, false, [respond(response)]);
      expect(observed.isComplete).to.equal(true);
      expect(observed.text).to.equal(text);
    }
  });

  it("does not present a broken stream as complete", async () => {
    for (const isResumable of [false, true]) {
      const scripts = [stream(3, true), stream(5, true)];
      const observed = await serve("streaming", isResumable, scripts);
      expect(observed.isComplete).to.equal(false);
      const lastId = isResumable ? 5 : 3;
      const events = Array.from({ length: lastId }, (_, at) => event(at + 1));
      expect(observed.text).to.equal(events.join(""));
      expect(observed.arrivals).to.deep.equal(isResumable ? [1, 1] : [1, 0]);
    }
  });

  it("does not continue a stream with an unsigned one", async () => {
    const scripts = [stream(3, true), respond(UNSIGNED_STREAM)];
    const observed = await serve("streaming", true, scripts);
    expect(observed.text).to.equal([1, 2, 3].map(event).join(""));
    expect(observed.isComplete).to.equal(false);
  });

  const continuations: [name: string, firstId: number, count: number][] = [
    ["starts again at the first event", 1, 6],
    ["repeats the last event", 3, 3],
    ["skips an event", 5, 2],
    ["ends without an event", 4, 0],
  ];
  for (const [name, firstId, count] of continuations) {
    it(`does not join a stream with one that ${name}`, async () => {
      const events = Array.from({ length: count }, (_, at) => firstId + at);
      const observed = await serve("streaming", true, [
        stream(3, true),
        respond(completeStream(events)),
      ]);
      expect(observed.text).to.equal([1, 2, 3].map(event).join(""));
      expect(observed.isComplete).to.equal(false);
    });
  }

  it("does not begin a resumed stream with events from before", async () => {
    const observed = await serve(
      "streaming",
      true,
      [respond(completeStream([3, 4])), stream(5, false)],
      [],
      100,
      "3",
    );
    expect(observed.text).to.equal([4, 5].map(event).join(""));
    expect(observed.isComplete).to.equal(true);
  });

  it("answers a request whose time is over before it is sent", async () => {
    const stopped = createDispatcher([serverRecord("s", "127.0.0.1:1")]);
    const gatewayServer = http.createServer((request, response) => {
      const context = {
        ...createContext("unsafe", false),
        signal: AbortSignal.abort(),
      };
      void stopped.serve({ context, request, body: undefined, response });
    });
    gatewayServer.listen(0, "127.0.0.1");
    await once(gatewayServer, "listening");
    try {
      const { port } = gatewayServer.address() as net.AddressInfo;
      expect((await sendRequest(port)).status).to.equal(503);
    } finally {
      gatewayServer.closeAllConnections();
      gatewayServer.close();
    }
  });

  it("tells a server to end before its host stops", async () => {
    const drain = new hostDrain.HostDrain();
    drain.recordRun(createContext("unsafe", false), 10);
    drain.begin(performance.now() + 1_000);
    let toldMs = 0;
    const server = net.createServer((socket) => {
      socket.once("data", (head) => {
        toldMs = Number(/^x-deadline-ms: (\d+)/im.exec(head.toString())?.[1]);
        socket.end(OK_RESPONSE);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    const records = [serverRecord("s", `127.0.0.1:${port}`)];
    const stopping = createDispatcher(records, () => {}, 100, drain);
    const gatewayServer = http.createServer((request, response) => {
      const context = createContext("unsafe", false);
      void stopping.serve({ context, request, body: undefined, response });
    });
    gatewayServer.listen(0, "127.0.0.1");
    await once(gatewayServer, "listening");
    try {
      const address = gatewayServer.address() as net.AddressInfo;
      expect((await sendRequest(address.port)).status).to.equal(200);
      expect(toldMs).to.be.within(1, 900);
    } finally {
      drain[Symbol.dispose]();
      gatewayServer.close();
      server.close();
    }
  });

  it("bounds the memory of endless answers, and serves the next request", async () => {
    const block = Buffer.alloc(64 * 1_024, "x");
    let buffered = 0;
    const endless: ServerScript = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      const write = () => {
        while (!socket.destroyed) {
          buffered = Math.max(buffered, shared.bufferedBytes);
          if (!socket.write(block)) {
            socket.once("drain", write);
            return;
          }
        }
      };
      write();
    };
    const server = net.createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", (head) => endless(socket, head.toString()));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    const records = Array.from(
      { length: ENDLESS_ANSWERS },
      (_, index) => serverRecord(`s${index}`, `127.0.0.1:${port}`),
    );
    const shared = createDispatcher(records);
    const gatewayServer = http.createServer((request, response) => {
      const context = createContext("unsafe", false, {}, LONG_TIMEOUT_MS);
      void shared.serve({ context, request, body: undefined, response });
    });
    gatewayServer.listen(0, "127.0.0.1");
    await once(gatewayServer, "listening");
    try {
      const address = gatewayServer.address() as net.AddressInfo;
      const answers = await Promise.all(
        records.map(() => sendRequest(address.port)),
      );
      expect(new Set(answers.map(({ status }) => status)))
        .to.have.keys(502);
      expect(buffered).to.be.within(1, MAX_ENDLESS_BYTES);
      expect(shared.bufferedBytes).to.equal(0);
    } finally {
      gatewayServer.close();
      server.close();
    }
    const next = await serve("unsafe", false, [respond(OK_RESPONSE)]);
    expect(next.status).to.equal(200);
  });
});
