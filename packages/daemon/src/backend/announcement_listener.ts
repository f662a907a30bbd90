/**
 * HTTP listener for the announcements of backend servers.
 *
 * @module
 */
import type * as http from "node:http";
import { backend, errors, settings } from "@ebonypath/protocol";
import * as v from "valibot";
import * as httpBody from "../http_body/mod.ts";
import * as security from "../security/mod.ts";

const ANNOUNCEMENT_PATH = "/v1/backend-servers/announcements";
/** Maximum size of an announcement body, in bytes. */
const MAX_BODY_BYTES = 1_024 * 1_024;
/** Default timeout for receiving an announcement body, in milliseconds. */
const BODY_TIMEOUT_MS = 5_000;

/** Header limits and timeouts for the HTTP server of the listener. */
export const SERVER_OPTIONS: http.ServerOptions = {
  maxHeaderSize: 16 * 1_024,
  headersTimeout: 5_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
};

/** Settings and callbacks that the host passes to the listener. */
export interface AnnouncementListenerOptions {
  /** Shared secret that backend servers send as a bearer token. */
  readonly joinToken: string;
  /** IP ranges that the address of a backend server must be in. */
  readonly allowedAddresses: readonly string[];
  /** Whether the host currently follows a leader. */
  readonly isCurrent: () => boolean;
  readonly onAnnouncement: (announcement: backend.Announcement) => void;
  /** Timeout for receiving an announcement body, in milliseconds. */
  readonly bodyTimeoutMs?: number;
}

/** Handles one HTTP request from a backend server. */
export type AnnouncementHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/**
 * Creates the request handler of the announcement listener. The handler never
 * rejects; errors are sent to the backend server as problem documents.
 *
 * @example
 * ```ts
 * const handler = createAnnouncementHandler(options);
 * http.createServer(SERVER_OPTIONS, (request, response) => {
 *   void handler(request, response);
 * });
 * ```
 */
export function createAnnouncementHandler(
  options: AnnouncementListenerOptions,
): AnnouncementHandler {
  const isAllowed = settings.matchAddresses(options.allowedAddresses);
  return async (request, response) => {
    try {
      authorize(request, options.joinToken);
      const body = await httpBody.readBody(request, {
        maxBytes: MAX_BODY_BYTES,
        timeoutMs: options.bodyTimeoutMs ?? BODY_TIMEOUT_MS,
      });
      const announcement = parseAnnouncement(body.toString("utf8"));
      validateAddress(announcement.address, isAllowed);
      if (!options.isCurrent()) {
        throw new errors.Refusal(
          errors.NOT_CURRENT,
          "announce yourself at another host",
          { retryAfterSeconds: 1 },
        );
      }
      options.onAnnouncement(announcement);
      response.writeHead(204).end();
    } catch (error) {
      sendRefusal(response, error);
    }
  };
}

function authorize(request: http.IncomingMessage, joinToken: string): void {
  const path = request.url?.split("?")[0];
  if (path !== ANNOUNCEMENT_PATH || request.method !== "POST") {
    throw new errors.Refusal(errors.NOT_FOUND, `use POST ${ANNOUNCEMENT_PATH}`);
  }
  const token = security.bearerToken(request.headers.authorization);
  if (token === null || !security.equalSecrets(token, joinToken)) {
    throw new errors.Refusal(errors.KEY_REFUSED, "the join token is wrong");
  }
}

function parseAnnouncement(text: string): backend.Announcement {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new errors.Refusal(errors.INVALID_REQUEST, "the body is not JSON");
  }
  const result = v.safeParse(backend.Announcement, value);
  if (result.success) return result.output;
  const [issue] = result.issues;
  const path = v.getDotPath(issue) ?? "body";
  throw new errors.Refusal(
    errors.INVALID_REQUEST,
    `${path}: ${issue.message}`,
  );
}

/**
 * Rejects an address that is not an HTTP or HTTPS origin with an IP address in
 * an allowed range.
 */
function validateAddress(
  address: string,
  isAllowed: (ip: string) => boolean,
): void {
  const url = new URL(address);
  const ip = url.hostname.replace(/^\[|\]$/g, "");
  const isOrigin = address === url.origin || address === `${url.origin}/`;
  const hasHttpScheme = url.protocol === "http:" || url.protocol === "https:";
  if (!hasHttpScheme || !isOrigin || !isAllowed(ip)) {
    throw new errors.Refusal(
      errors.INVALID_REQUEST,
      "address: must be an origin with an IP number in an allowed range",
    );
  }
}

function sendRefusal(response: http.ServerResponse, error: unknown): void {
  if (response.destroyed || response.headersSent) return;
  const refusal = error instanceof errors.Refusal
    ? error
    : new errors.Refusal(errors.INTERNAL, "the announcement was not taken");
  const { status, headers, body } = errors.problemResponse(refusal);
  // Closes the connection so that the unread rest of the body is not parsed as
  // the next request.
  response.writeHead(status, { ...headers, connection: "close" });
  response.end(body);
}
