/**
 * A dispatcher in front of servers that send raw bytes.
 *
 * @module
 */
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as dispatcher from "../../src/gateway/entry/dispatcher.ts";
import * as hostDrain from "../../src/gateway/entry/host_drain.ts";
import * as retryBudgets from "../../src/gateway/entry/retry_budgets.ts";
import type * as serverSelector from "../../src/gateway/entry/server_selector.ts";
import * as serverTracker from "../../src/gateway/entry/server_tracker.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

/** Time limit of a request, in milliseconds. */
const TIMEOUT_MS = 3_000;

/** What a server does with a request, given the request's head. */
export type ServerScript = (socket: net.Socket, head: string) => void;

export const OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
export const UNSIGNED_RESPONSE =
  "HTTP/1.1 200 OK\r\nX-Unsigned: 1\r\nContent-Length: 2\r\n\r\nno";
export const BUSY_RESPONSE =
  "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/** Doesn't state that the request was not run. */
export const OVERLOADED_RESPONSE =
  "HTTP/1.1 503 Overloaded\r\nContent-Length: 0\r\n\r\n";
export const ERROR_RESPONSE =
  "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nbad";
export const STREAM_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

/** A complete stream with an event after the third, but without signature. */
export const UNSIGNED_STREAM = completeStream([4])
  .replace("\r\n\r\n", "\r\nX-Unsigned: 1\r\n\r\n");

export function respond(text: string): ServerScript {
  return (socket) => socket.end(text);
}

/** Resets the connection after the request arrived: it may have run. */
export const reset: ServerScript = (socket) => socket.resetAndDestroy();

/** Marks a server that no longer listens. */
export const gone: ServerScript = () => {};

export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** A stream of some events that ends as complete. */
export function completeStream(ids: readonly number[]): string {
  const chunks = ids.map((id) => chunk(event(id)));
  return `${STREAM_HEAD}${chunks.join("")}0\r\n\r\n`;
}

/**
 * Streams the events from the one after `Last-Event-Id` to the last one, and
 * then ends the stream or breaks it.
 */
export function stream(lastId: number, isBroken: boolean): ServerScript {
  return (socket, head) => {
    const firstId = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0) + 1;
    let text = STREAM_HEAD;
    for (let id = firstId; id <= lastId; id += 1) text += chunk(event(id));
    // A broken stream ends inside an event.
    if (isBroken) socket.write(text + chunk("id: 9"), () => socket.destroy());
    else socket.end(`${text}0\r\n\r\n`);
  };
}

export const DIALECT: types.Dialect = {
  readRequest: () => EMPTY_METADATA,
  upstreamHeaders: ({ headers }, { deadlineMs, lastEventId }) => [
    "host",
    "h",
    "x-deadline-ms",
    String(deadlineMs),
    ...(headers["x-id"] === undefined ? [] : ["x-id", String(headers["x-id"])]),
    ...(lastEventId === undefined ? [] : ["last-event-id", lastEventId]),
  ],
  readResponse: ({ headers }, requestId) => ({
    identity: headers["x-id"] === undefined
      ? "none"
      : headers["x-id"] === requestId
      ? "own"
      : "other",
    isSigned: headers["x-unsigned"] === undefined,
    isNotRun: headers["x-not-run"] !== undefined,
    reason: headers["x-not-run"] === undefined ? "none" : "busy",
    isEventStream: headers["content-type"] === "text/event-stream",
    isLeaving: false,
    closedMs: undefined,
  }),
  responseHeaders: () => [],
  refusalHeaders: () => ({}),
};

export function serverRecord(
  id: string,
  address: string,
  softwareVersion = "v1",
): gateway.ServerRecord {
  return fixtures.serverRecord(id, { address, service: "s", softwareVersion });
}

/** What the caller and the servers observed of one request. */
export type Observed = {
  readonly status: number;
  readonly text: string;
  readonly isComplete: boolean;
  /** Number of requests that arrived at each server. */
  readonly arrivals: readonly number[];
  /** Version that each server was selected for; undefined for any. */
  readonly selectedFor: readonly (string | null | undefined)[];
};

/** Sends one request to a dispatcher with one server for each script. */
export async function serve(
  kind: gateway.RouteKind,
  isResumable: boolean,
  scripts: readonly ServerScript[],
  versions: readonly string[] = [],
  retrySlack = 100,
  lastEventId?: string,
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
    const context = createContext(kind, isResumable, { lastEventId });
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
export function createDispatcher(
  records: readonly gateway.ServerRecord[],
  onSelect: (context: types.RequestContext) => void = () => {},
  retrySlack = 100,
  drain = new hostDrain.HostDrain(),
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
    maxBufferedBytes: 48 * 1024 * 1024,
    selector,
    tracker: new serverTracker.ServerTracker(() => {}),
    retryBudgets: budgets,
    streams: new core.gateway.OwnStreams({
      server: () => undefined,
      isMixed: () => true,
    }),
    suspects: {
      confirmEnd: () => Promise.resolve(true),
      recordEnd: () => {},
      recordFailure: () => Promise.resolve(),
      recordSuccess: () => {},
    },
    drain,
    removals: {
      watch: (_server, { signal }) => ({ signal, [Symbol.dispose]: () => {} }),
    },
    metrics: new GatewayMetrics(),
    returns: { schedule: (_context, { readyMs }) => readyMs },
    refusalInputs: () => ({}),
    onRequestBegun: () => {},
    onServerLeaving: () => {},
    onStreamBegun: () => {},
    onStreamBroken: () => {},
  });
}

export function createContext(
  kind: gateway.RouteKind,
  isResumable: boolean,
  metadata: Partial<types.RequestMetadata> = {},
  timeoutMs = TIMEOUT_MS,
): types.RequestContext {
  const now = performance.now();
  const abortController = new AbortController();
  return {
    metadata: { ...EMPTY_METADATA, ...metadata },
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

export function sendRequest(
  port: number,
  id?: string,
): Promise<Omit<Observed, "arrivals" | "selectedFor">> {
  const headers = id === undefined ? {} : { "x-id": id };
  const target = { port, host: "127.0.0.1", agent: false, headers };
  return new Promise((resolve, reject) => {
    http.get(target, (response) => {
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
