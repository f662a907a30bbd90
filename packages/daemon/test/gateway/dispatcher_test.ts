import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as dispatcher from "../../src/gateway/entry/dispatcher.ts";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";
import type * as serverSelector from "../../src/gateway/entry/server_selector.ts";
import * as serverTracker from "../../src/gateway/entry/server_tracker.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

/** Time limit of a request, in milliseconds. */
const TIMEOUT_MS = 3_000;
/** The same where the limit of memory is to end it, however busy the machine. */
const LONG_TIMEOUT_MS = 25_000;
/** Answers without end that arrive at the same time. */
const ENDLESS_ANSWERS = 50;
/** Bytes of them that may be buffered: a host has 250 MB for everything. */
const MAX_ENDLESS_BYTES = 50 * 2 ** 20;

/** What a server does with a request, given the request's head. */
type ServerScript = (socket: net.Socket, head: string) => void;

const OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const BUSY_RESPONSE =
  "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR_RESPONSE = "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nbad";
const STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

function respond(text: string): ServerScript {
  return (socket) => socket.end(text);
}

/** Resets the connection after the request arrived: it may have run. */
const reset: ServerScript = (socket) => socket.resetAndDestroy();

/** Marks a server that no longer listens. */
const gone: ServerScript = () => {};

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/**
 * Streams the events from the one after `Last-Event-Id` to the last one, and
 * then ends the stream or breaks it.
 */
function stream(lastId: number, isBroken: boolean): ServerScript {
  return (socket, head) => {
    const firstId = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0) + 1;
    let text = STREAM_HEAD;
    for (let id = firstId; id <= lastId; id += 1) text += chunk(event(id));
    // A broken stream ends inside an event.
    if (isBroken) socket.write(text + chunk("id: 9"), () => socket.destroy());
    else socket.end(`${text}0\r\n\r\n`);
  };
}

const DIALECT: types.Dialect = {
  readRequest: () => EMPTY_METADATA,
  upstreamHeaders: (_request, { lastEventId }) =>
    lastEventId === undefined
      ? ["host", "h"]
      : ["host", "h", "last-event-id", lastEventId],
  readResponse: ({ headers }) => ({
    isNotRun: headers["x-not-run"] !== undefined,
    reason: headers["x-not-run"] === undefined ? "none" : "busy",
    isMismatched: false,
    isIdentified: false,
    isEventStream: headers["content-type"] === "text/event-stream",
    isLeaving: false,
    closedMs: undefined,
  }),
  responseHeaders: () => [],
  refusalHeaders: () => ({}),
};

function serverRecord(
  id: string,
  address: string,
  softwareVersion = "v1",
): gateway.ServerRecord {
  return fixtures.serverRecord(id, { address, service: "s", softwareVersion });
}

/** What the caller and the servers observed of one request. */
type Observed = {
  readonly status: number;
  readonly text: string;
  readonly isComplete: boolean;
  /** Number of requests that arrived at each server. */
  readonly arrivals: readonly number[];
  /** Version that each server was selected for; undefined for any. */
  readonly selectedFor: readonly (string | null | undefined)[];
};

/** Sends one request to a dispatcher with one server for each script. */
async function serve(
  kind: gateway.RouteKind,
  isResumable: boolean,
  scripts: readonly ServerScript[],
  versions: readonly string[] = [],
  retrySlack = 100,
): Promise<Observed> {
  const arrivals = scripts.map(() => 0);
  const servers = await Promise.all(scripts.map(async (script, index) => {
    const server = net.createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", (head) => {
        arrivals[index] = (arrivals[index] ?? 0) + 1;
        script(socket, head.toString());
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
  }));
  const records = servers.map((server, index) =>
    serverRecord(
      `s${index}`,
      `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
      versions[index],
    )
  );
  for (const [index, script] of scripts.entries()) {
    if (script === gone) servers[index]?.close();
  }
  const selectedFor: (string | null | undefined)[] = [];
  const dispatching = createDispatcher(
    records,
    ({ origin }) => selectedFor.push(origin?.softwareVersion),
    retrySlack,
  );
  const gatewayServer = http.createServer((request, response) => {
    const context = createContext(kind, isResumable);
    void dispatching.serve({ context, request, body: undefined, response });
  });
  gatewayServer.listen(0, "127.0.0.1");
  await once(gatewayServer, "listening");
  try {
    const { port } = gatewayServer.address() as net.AddressInfo;
    return { ...await sendRequest(port), arrivals, selectedFor };
  } finally {
    gatewayServer.close();
    for (const server of servers) server.close();
  }
}

/**
 * Creates a dispatcher whose selector returns each server once, in order, unless
 * the stream began at another software version.
 */
function createDispatcher(
  records: readonly gateway.ServerRecord[],
  onSelect: (context: types.RequestContext) => void = () => {},
  retrySlack = 100,
): dispatcher.Dispatcher {
  const remaining = [...records];
  const selector = {
    select: (context: types.RequestContext): Promise<types.Selection> => {
      onSelect(context);
      const server = remaining.shift();
      const version = context.origin?.softwareVersion ??
        server?.softwareVersion;
      if (server?.softwareVersion !== version) {
        return Promise.resolve({ kind: "version-gone" });
      }
      return Promise.resolve(
        server === undefined ? { kind: "expired" } : { kind: "server", server },
      );
    },
    processQueue: () => {},
  } as unknown as serverSelector.ServerSelector;
  const budgets = new retryBudgets.RetryBudgets(
    { ratio: retrySlack / 100, slack: retrySlack, windowMs: 1_000 },
    { take: () => Promise.resolve(false) },
  );
  budgets.setHostCount(1, performance.now());
  return new dispatcher.Dispatcher({
    dialect: DIALECT,
    selector,
    tracker: new serverTracker.ServerTracker(() => {}),
    retryBudgets: budgets,
    streams: new core.gateway.OwnStreams({
      server: () => undefined,
      isMixed: () => true,
    }),
    suspects: { recordEnd: () => {}, recordFailure: () => Promise.resolve() },
    metrics: new GatewayMetrics(),
    onReturnExpected: () => {},
    onServerLeaving: () => {},
    onStreamBegun: () => {},
    onStreamBroken: () => {},
  });
}

function createContext(
  kind: gateway.RouteKind,
  isResumable: boolean,
  timeoutMs = TIMEOUT_MS,
): types.RequestContext {
  const now = performance.now();
  const abortController = new AbortController();
  return {
    metadata: EMPTY_METADATA,
    identity: identityOf(),
    route: {
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind,
      timeoutMs,
      targetMs: 500,
      priority: 1,
      split: [],
      maxAttempts: 2,
      isPublic: true,
      isResumable,
    },
    service: { name: "s", maxConnections: 9, coldRequestsPerSecond: 0 },
    workspace: undefined,
    arrivedAt: now,
    deadline: now + timeoutMs,
    queueDeadline: now + timeoutMs - 100,
    priority: 1,
    isRetryable: kind === "safe" || isResumable,
    signal: abortController.signal,
    failedServers: new Set(),
  };
}

function sendRequest(
  port: number,
): Promise<Omit<Observed, "arrivals" | "selectedFor">> {
  return new Promise((resolve, reject) => {
    http.get({ port, host: "127.0.0.1", agent: false }, (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (part: string) => text += part);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          text,
          isComplete: response.complete,
        }));
    }).on("error", reject);
  });
}

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
      const context = createContext("unsafe", false, LONG_TIMEOUT_MS);
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
