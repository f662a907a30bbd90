/**
 * HTTP listeners that limit slow clients and oversized requests.
 *
 * @module
 */
import * as http from "node:http";
import * as https from "node:https";
import * as net from "node:net";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as clientGuard from "./client_guard.ts";
import { closeIdleConnections } from "./idle_connections.ts";
import { StallDetector } from "./stall_detector.ts";

export * from "./client_guard.ts";
export { isCallerWaiting } from "./caller_connection.ts";
export { closeIdleConnections } from "./idle_connections.ts";
export { StallDetector } from "./stall_detector.ts";

const write = log.createLog("listener");

/** Time after which an idle keep-alive connection is closed, in ms. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** How often Node checks connections for request timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/**
 * Handles one request. If it rejects, the listener responds with status 500, or
 * closes the connection if the headers have been sent.
 */
export type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void> | void;

/** Options of a listener. */
export interface ListenerOptions {
  readonly name: settings.ListenerName;
  /** Address as `IP:PORT`; port 0 selects a free port. */
  readonly endpoint: string;
  readonly limits: protocol.settings.Limits;
  readonly certificate: settings.Certificate | undefined;
  readonly handler: Handler;
  /** Called with each connection that is closed for what its client holds. */
  onFault?(listener: string, fault: core.clients.ClientFault): void;
}

/** A listening HTTP server. */
export interface Listener extends AsyncDisposable {
  /** Bound address as `IP:PORT`. */
  readonly address: string;
  /** Stops accepting new connections and keeps the open ones. */
  stopAccepting(): void;
  /**
   * Closes connections without an active request. A response counts as sent
   * once it is ended, even if data is still buffered, so call this only when no
   * response is in progress.
   */
  closeIdle(): Promise<void>;
  /** Uses a new certificate for new connections. Without TLS, does nothing. */
  reload(certificate: settings.Certificate): void;
}

/**
 * Starts a listener.
 *
 * @throws {protocol.errors.StepError} if the listener can't bind to the address
 *
 * @example
 * ```ts
 * await using listener = await listen({ name: "callers", endpoint, ... });
 * ```
 */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const stalls = new StallDetector();
  const server = createServer(options, stalls);
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await bind(server, options);
  const address = protocol.settings.renderEndpoint(boundEndpoint(server));
  write("listening", { listener: options.name, address });
  return {
    address,
    stopAccepting() {
      // `http.Server.close` would also close idle connections.
      net.Server.prototype.close.call(server);
    },
    closeIdle() {
      return closeIdleConnections(server);
    },
    reload(certificate) {
      if (server instanceof https.Server) {
        server.setSecureContext(tlsOptions(certificate));
      }
    },
    async [Symbol.asyncDispose]() {
      stalls[Symbol.dispose]();
      server.closeAllConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

function createServer(
  options: ListenerOptions,
  stalls: StallDetector,
): http.Server {
  const limits = {
    maxHeaderSize: options.limits.maxHeaderBytes,
    headersTimeout: options.limits.headerTimeoutMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    noDelay: true,
  };
  const requestListener = createRequestListener(options, stalls);
  const { certificate } = options;
  return clientGuard.createGuardedServer(
    guardOptions(options),
    limits,
    requestListener,
    certificate === undefined
      ? undefined
      : (guarded, handler) =>
        https.createServer({
          ...guarded,
          ...tlsOptions(certificate),
          handshakeTimeout: options.limits.headerTimeoutMs,
        }, handler),
    handleClientError,
  );
}

function guardOptions(
  { limits, name, onFault }: ListenerOptions,
): clientGuard.GuardOptions {
  return {
    name,
    limits: {
      maxConnections: limits.maxConnections,
      maxRequestsAhead: limits.maxRequestsAhead,
      maxRequestsAheadInAll: core.clients.DEFAULT_LIMITS.maxRequestsAheadInAll,
      maxBodyBytes: limits.maxReceivingBytes,
      maxUnreadBytes: limits.maxUnreadBytes,
      bodyTimeoutMs: limits.bodyTimeoutMs,
    },
    ...(onFault === undefined ? {} : { onFault }),
  };
}

function tlsOptions(certificate: settings.Certificate): {
  cert: string;
  key: string;
  ca?: string;
  requestCert?: boolean;
} {
  const { authority } = certificate;
  return {
    cert: certificate.certificate,
    key: certificate.key,
    ...(authority === undefined ? {} : { ca: authority, requestCert: true }),
  };
}

function createRequestListener(
  options: ListenerOptions,
  stalls: StallDetector,
): http.RequestListener {
  return (request, response) => {
    const handled = Promise.resolve().then(async () => {
      if (!await stalls.isCallerPresent(request)) {
        write("caller-left", { listener: options.name, path: request.url });
        response.destroy();
        return;
      }
      await options.handler(request, response);
    });
    handled.catch((error: unknown) => {
      write("handler-failed", {
        listener: options.name,
        error: error instanceof Error ? error.stack : String(error),
      });
      if (response.headersSent) {
        response.destroy();
      } else {
        response.writeHead(500).end();
      }
    });
  };
}

/** Responds to a request that is malformed or did not arrive in time. */
function handleClientError(
  error: NodeJS.ErrnoException,
  socket: net.Socket,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const refusal = new protocol.errors.Refusal(
    clientErrorDefinition(error.code),
    clientErrorDetail(error.code),
  );
  const { status, headers, body } = protocol.errors.problemResponse(refusal, {
    members: protocol.errors.callerExtensionMembers(refusal),
  });
  const lines = Object.entries({ ...headers, connection: "close" })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  socket.end(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
      `${lines.join("")}\r\n${body}`,
  );
}

function clientErrorDefinition(
  code: string | undefined,
): protocol.errors.ProblemDefinition {
  switch (code) {
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return protocol.errors.REQUEST_TIMEOUT;
    case "HPE_HEADER_OVERFLOW":
      return protocol.errors.TOO_LARGE;
    default:
      return protocol.errors.INVALID_REQUEST;
  }
}

function clientErrorDetail(code: string | undefined): string {
  switch (code) {
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "the request did not arrive in time";
    case "HPE_HEADER_OVERFLOW":
      return "the headers are too large";
    default:
      return "the request is not valid HTTP";
  }
}

function bind(server: http.Server, options: ListenerOptions): Promise<void> {
  const endpoint = protocol.settings.parseEndpoint(options.endpoint);
  return new Promise((resolve, reject) => {
    server.once("error", (cause) => {
      reject(
        new protocol.errors.StepError(
          "listen",
          options.endpoint,
          `listener ${options.name} can't listen`,
          cause,
        ),
      );
    });
    server.listen(endpoint?.port, endpoint?.ip, resolve);
  });
}

function boundEndpoint(server: http.Server): protocol.settings.Endpoint {
  const address = server.address() as net.AddressInfo;
  return { ip: address.address, port: address.port };
}
