import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as dispatcher from "../../src/gateway/entry/dispatcher.ts";
import type * as serverSelector from "../../src/gateway/entry/server_selector.ts";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";
import * as serverTracker from "../../src/gateway/entry/server_tracker.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import { EMPTY_METADATA } from "./request_metadata.ts";

/** What a server does with a request; the text is the request's head. */
type Script = (socket: net.Socket, head: string) => void;

const OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const FULL = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nbad";
const STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

function answers(text: string): Script {
  return (socket) => socket.end(text);
}

/** Reads the request and goes away: it may have run. */
const vanishes: Script = (socket) => socket.resetAndDestroy();

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** Streams some events from the one after `Last-Event-Id`, and maybe breaks. */
function streams(last: number, isBroken: boolean): Script {
  return (socket, head) => {
    const begin = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0) + 1;
    let text = STREAM;
    for (let id = begin; id <= last; id += 1) text += chunk(event(id));
    // What breaks off does so in the middle of an event.
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
    isEventStream: headers["content-type"] === "text/event-stream",
  }),
  responseHeaders: () => [],
  refusalHeaders: () => ({}),
};

function record(id: string, address: string): gateway.ServerRecord {
  return {
    id,
    address,
    born: 1,
    sequence: 1,
    service: "s",
    failureDomain: "a",
    slots: 8,
    state: "ready",
    coldMs: 0,
    models: [],
    inMemory: [],
    onDisk: [],
    silentMs: 0,
    leaving: [],
  };
}

/** What the caller and the servers saw of one request. */
type Seen = {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
  /** Requests that arrived at each server. */
  readonly arrivals: readonly number[];
};

/** Serves one request by servers that follow scripts, in their order. */
async function serve(
  kind: gateway.RouteKind,
  isResumable: boolean,
  scripts: readonly Script[],
): Promise<Seen> {
  const arrivals = scripts.map(() => 0);
  const servers = await Promise.all(scripts.map(async (script, at) => {
    const server = net.createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", (head) => {
        arrivals[at] = (arrivals[at] ?? 0) + 1;
        script(socket, head.toString());
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
  }));
  const records = servers.map((server, at) =>
    record(`s${at}`, `127.0.0.1:${(server.address() as net.AddressInfo).port}`)
  );
  const front = http.createServer((request, response) => {
    void dispatch(kind, isResumable, records, request, response);
  });
  front.listen(0, "127.0.0.1");
  await once(front, "listening");
  try {
    const { port } = front.address() as net.AddressInfo;
    return { ...await ask(port), arrivals };
  } finally {
    front.close();
    for (const server of servers) server.close();
  }
}

/** Offers the servers one after the other, each once. */
async function dispatch(
  kind: gateway.RouteKind,
  isResumable: boolean,
  records: readonly gateway.ServerRecord[],
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const left = [...records];
  const chosen = {
    select: () => Promise.resolve(left.shift()),
    processQueue: () => {},
  } as unknown as serverSelector.ServerSelector;
  const now = performance.now();
  const stop = new AbortController();
  const work: types.RequestContext = {
    metadata: EMPTY_METADATA,
    route: {
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind,
      timeoutMs: 3_000,
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
    deadline: now + 3_000,
    queueDeadline: now + 2_900,
    priority: 1,
    isRetryable: kind === "safe" || isResumable,
    signal: stop.signal,
    failedServers: new Set(),
  };
  await new dispatcher.Dispatcher({
    dialect: DIALECT,
    selector: chosen,
    tracker: new serverTracker.ServerTracker(() => {}),
    retryBudgets: new retryBudgets.RetryBudgets({
      ratio: 1,
      slack: 100,
      windowMs: 1_000,
    }),
    metrics: new GatewayMetrics(),
  }).serve({ context: work, request, body: undefined, response });
}

function ask(port: number): Promise<Omit<Seen, "arrivals">> {
  return new Promise((resolve, reject) => {
    http.get({ port, host: "127.0.0.1", agent: false }, (answer) => {
      let text = "";
      answer.setEncoding("utf8");
      answer.on("data", (part: string) => text += part);
      answer.on("error", () => {});
      answer.on("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          text,
          isWhole: answer.complete,
        }));
    }).on("error", reject);
  });
}

describe("gateway dispatcher", () => {
  type Case = [
    name: string,
    kind: gateway.RouteKind,
    scripts: Script[],
    status: number,
    arrivals: number[],
  ];
  const cases: Case[] = [
    ["passes an answer on", "unsafe", [answers(OK), answers(OK)], 200, [1, 0]],
    [
      "asks another server when one did not run it",
      "unsafe",
      [answers(FULL), answers(OK)],
      200,
      [1, 1],
    ],
    [
      "never repeats what may have run once",
      "unsafe",
      [vanishes, answers(OK)],
      502,
      [1, 0],
    ],
    [
      "passes on the failure of what may run once",
      "unsafe",
      [answers(FAILED), answers(OK)],
      500,
      [1, 0],
    ],
    [
      "repeats a safe request after silence",
      "safe",
      [vanishes, answers(OK)],
      200,
      [1, 1],
    ],
    [
      "repeats a safe request after a failure",
      "safe",
      [answers(FAILED), answers(OK)],
      200,
      [1, 1],
    ],
    [
      "runs a safe request on two servers at most",
      "safe",
      [vanishes, answers(FAILED), answers(OK)],
      500,
      [1, 1, 0],
    ],
    [
      "says 503 only of what no server ran",
      "unsafe",
      [answers(FULL), answers(FULL)],
      503,
      [1, 1],
    ],
    [
      "does not say 503 of what one may have run",
      "safe",
      [vanishes, answers(FULL)],
      502,
      [1, 1],
    ],
    [
      "does not begin a stream again that may run once",
      "streaming",
      [vanishes, streams(3, false)],
      502,
      [1, 0],
    ],
  ];
  for (const [name, kind, scripts, status, arrivals] of cases) {
    it(name, async () => {
      const seen = await serve(kind, false, scripts);
      expect(seen.status).to.equal(status);
      expect(seen.arrivals).to.deep.equal(arrivals);
    });
  }

  it("goes on with a stream at another server where the route allows it", async () => {
    const seen = await serve("streaming", true, [
      streams(3, true),
      streams(6, false),
    ]);
    expect(seen.text).to.equal([1, 2, 3, 4, 5, 6].map(event).join(""));
    expect(seen.isWhole).to.equal(true);
  });

  it("does not let a broken stream look complete", async () => {
    for (const isResumable of [false, true]) {
      const scripts = [streams(3, true), streams(5, true)];
      const seen = await serve("streaming", isResumable, scripts);
      expect(seen.isWhole).to.equal(false);
      const last = isResumable ? 5 : 3;
      const whole = Array.from({ length: last }, (_, at) => event(at + 1));
      expect(seen.text).to.equal(whole.join(""));
      expect(seen.arrivals).to.deep.equal(isResumable ? [1, 1] : [1, 0]);
    }
  });
});
