import * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import type * as log from "../log/mod.ts";
import * as security from "../security/mod.ts";
import * as authorization from "./authorization.ts";
import type * as httpBody from "../http_body/mod.ts";
import * as body from "./body.ts";
import type * as access from "./control_access.ts";
import * as outcome from "./outcome.ts";
import * as routes from "./routes.ts";

const { errors } = protocol;

const REQUEST_ID_BYTES = 8;

/** Options of the operators' interface. */
export interface OperatorsOptions {
  readonly operators: readonly authorization.Operator[];
  readonly control: access.ControlAccess;
  readonly limits: httpBody.BodyLimits;
  /** Whether the process is healthy; if false, the platform replaces it. */
  readonly isAlive: () => boolean;
  /** Renders the metrics in the Prometheus text format. */
  readonly renderMetrics: () => Promise<string>;
  readonly log: log.Log;
}

/** Handles one request. The promise never rejects. */
export type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/**
 * Creates the request handler of the operators' listener.
 *
 * @example
 * ```ts
 * const server = http.createServer(createOperatorsHandler(options));
 * ```
 */
export function createOperatorsHandler(options: OperatorsOptions): Handler {
  return async (request, response) => {
    const requestId = security.randomId(REQUEST_ID_BYTES);
    response.setHeader(protocol.errors.REQUEST_ID_HEADER, requestId);
    try {
      await handle(options, request, response);
    } catch (error) {
      const refusal = outcome.toRefusal(error);
      logRefusal(options.log, request, refusal, requestId);
      sendRefusal(request, response, refusal, requestId);
    }
  };
}

async function handle(
  options: OperatorsOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const url = parseUrl(request.url ?? "/");
  if (url.pathname === "/livez") {
    const alive = options.isAlive();
    send(
      response,
      alive ? 200 : 503,
      "text/plain",
      alive ? "ok\n" : "failed\n",
    );
    return;
  }
  if (url.pathname === "/metrics") {
    const metrics = await options.renderMetrics();
    send(response, 200, "text/plain; version=0.0.4; charset=utf-8", metrics);
    return;
  }
  const { operators, control, limits } = options;
  const header = request.headers.authorization;
  const operator = authorization.authenticate(operators, header);
  const { route, parameters } = findRoute(request, response, url.pathname);
  authorization.requireRight(operator, route.right);
  const query = url.searchParams;
  const call = { request, operator, control, limits, parameters, query };
  const result = await route.run(call);
  if (route.method !== "GET") {
    const { method, path } = route;
    options.log("change", { operator: operator.name, method, path });
  }
  send(response, 200, "application/json", `${JSON.stringify(result)}\n`);
}

function parseUrl(target: string): URL {
  try {
    return new URL(target, "http://operators");
  } catch {
    throw body.invalidRequest("the request target is malformed");
  }
}

interface Match {
  readonly route: routes.Route;
  readonly parameters: readonly string[];
}

function findRoute(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  path: string,
): Match {
  const matches = routes.ROUTES.flatMap((route) => {
    const parameters = matchPath(route.path, path);
    return parameters === undefined ? [] : [{ route, parameters }];
  });
  const match = matches.find(({ route }) => route.method === request.method);
  if (match !== undefined) return match;
  if (matches.length === 0) {
    throw new errors.Refusal(errors.NO_SUCH_ITEM, `there is no ${path}`);
  }
  const allowed = matches.map(({ route }) => route.method).join(", ");
  response.setHeader("allow", allowed);
  throw new errors.Refusal(errors.METHOD_REFUSED, `${path} allows ${allowed}`);
}

function matchPath(pattern: string, path: string): string[] | undefined {
  const expected = pattern.split("/");
  const segments = path.split("/");
  if (expected.length !== segments.length) return undefined;
  const parameters: string[] = [];
  for (const [index, segment] of segments.entries()) {
    if (expected[index]?.startsWith(":")) {
      parameters.push(decodeSegment(segment));
    } else if (expected[index] !== segment) return undefined;
  }
  return parameters;
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw body.invalidRequest("the path is not encoded correctly");
  }
}

function logRefusal(
  log: log.Log,
  request: http.IncomingMessage,
  refusal: protocol.errors.Refusal,
  requestId: string,
): void {
  const cause = refusal.cause;
  log("refusal", {
    requestId,
    method: request.method,
    path: request.url?.split("?")[0],
    reason: refusal.definition.name,
    outcome: refusal.outcome,
    detail: refusal.message,
    step: refusal.step,
    peer: refusal.peer,
    cause: cause instanceof Error ? cause : undefined,
  });
}

function sendRefusal(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  refusal: protocol.errors.Refusal,
  requestId: string,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  // The connection can't be reused while part of the request body is unread.
  if (!request.complete) response.setHeader("connection", "close");
  const members = refusal instanceof outcome.VersionConflict
    ? { winner: refusal.winner }
    : {};
  const { status, headers, body } = protocol.errors.problemResponse(refusal, {
    requestId,
    members,
  });
  response.writeHead(status, headers).end(body);
}

function send(
  response: http.ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  response.statusCode = status;
  response.setHeader("content-type", contentType);
  response.setHeader("cache-control", "no-store");
  response.end(text);
}
