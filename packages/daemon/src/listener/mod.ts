/**
 * HTTP listeners with limits against slow and oversized clients.
 *
 * @module
 */
import * as http from "node:http";
import * as https from "node:https";
import * as net from "node:net";
import * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import type * as settings from "../settings/mod.ts";

const write = log.createLog("listener");

/** An idle kept-alive connection is closed after this time, in ms. */
const KEEP_ALIVE_MS = 60_000;
/** How often Node looks for clients that are too slow, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Handles one request; a rejection is answered with status 500. */
export type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void> | void;

/** What a listener accepts. */
export interface ListenerOptions {
  readonly name: settings.ListenerName;
  /** `IP:PORT`; port 0 takes any free port. */
  readonly endpoint: string;
  readonly limits: protocol.settings.Limits;
  readonly certificate: settings.Certificate | undefined;
  readonly handler: Handler;
}

/** A listening HTTP server. */
export interface Listener extends AsyncDisposable {
  /** `IP:PORT` that it listens on. */
  readonly address: string;
  /** Accepts no new connections. */
  stopAccepting(): void;
  /**
   * Closes connections on which no request is open. It takes an answer that
   * is ended for an answer that is sent: call it when no answer is open.
   */
  closeIdle(): void;
  /** Takes a new certificate for the connections to come. */
  reload(certificate: settings.Certificate): void;
}

/**
 * Starts a listener.
 *
 * @throws {protocol.errors.StepError} the address can't be listened on
 *
 * @example
 * ```ts
 * await using listener = await listen({ name: "callers", endpoint, ... });
 * ```
 */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const server = createServer(options);
  server.maxConnections = options.limits.maxConnections;
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.on("clientError", refuseClient);
  await bind(server, options);
  const address = protocol.settings.renderEndpoint(endpointOf(server));
  write("listening", { listener: options.name, address });
  return {
    address,
    stopAccepting() {
      // The method of `http.Server` would close connections as well.
      net.Server.prototype.close.call(server);
    },
    closeIdle() {
      server.closeIdleConnections();
    },
    reload(certificate) {
      if (server instanceof https.Server) {
        server.setSecureContext(tlsOptions(certificate));
      }
    },
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

function createServer(options: ListenerOptions): http.Server | https.Server {
  const limits = {
    maxHeaderSize: options.limits.maxHeaderBytes,
    headersTimeout: options.limits.headerTimeoutMs,
    requestTimeout: Math.max(
      options.limits.headerTimeoutMs,
      options.limits.bodyTimeoutMs,
    ),
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    noDelay: true,
  };
  const handle = guard(options);
  if (options.certificate === undefined) {
    return http.createServer(limits, handle);
  }
  return https.createServer(
    { ...limits, ...tlsOptions(options.certificate) },
    handle,
  );
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

function guard(options: ListenerOptions): http.RequestListener {
  return (request, response) => {
    const answered = Promise.resolve().then(() =>
      options.handler(request, response)
    );
    answered.catch((error: unknown) => {
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

/** Answers a client whose request could not be parsed or came too slowly. */
function refuseClient(error: NodeJS.ErrnoException, socket: net.Socket): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const refusal = new protocol.errors.Refusal(
    definitionOf(error.code),
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

function definitionOf(
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

function endpointOf(server: http.Server): protocol.settings.Endpoint {
  const address = server.address() as net.AddressInfo;
  return { ip: address.address, port: address.port };
}
