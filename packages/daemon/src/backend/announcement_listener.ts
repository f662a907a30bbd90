/**
 * Takes the announcements of backend servers.
 *
 * @module
 */
import type * as http from "node:http";
import { backend, errors, settings } from "@ebonypath/protocol";
import * as v from "valibot";
import * as httpBody from "../http_body/mod.ts";
import * as security from "../security/mod.ts";

/** Path of announcements. */
const PATH = "/v1/backend-servers/announcements";
/** Largest announcement, in bytes. */
const BODY_BYTES = 1_024 * 1_024;
/** Longest time to receive an announcement, in milliseconds. */
const BODY_TIMEOUT_MS = 5_000;

/** Limits of the listener's HTTP server. */
export const SERVER_OPTIONS: http.ServerOptions = {
  maxHeaderSize: 16 * 1_024,
  headersTimeout: 5_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
};

/** What the listener needs of its host. */
export interface AnnouncementListenerOptions {
  readonly joinToken: string;
  /** Ranges in which the address of a backend server may lie. */
  readonly allowedAddresses: readonly string[];
  /** Whether the host follows a leader. */
  readonly isCurrent: () => boolean;
  readonly onAnnouncement: (announcement: backend.Announcement) => void;
  /** Longest time to receive an announcement, in milliseconds. */
  readonly bodyTimeoutMs?: number;
}

/** Handles a request of a backend server. */
export type AnnouncementHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/**
 * Creates the request handler of the announcement listener. It never rejects;
 * refusals are problem documents.
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
        maxBytes: BODY_BYTES,
        timeoutMs: options.bodyTimeoutMs ?? BODY_TIMEOUT_MS,
      });
      const announcement = parse(body.toString("utf8"));
      checkAddress(announcement.address, isAllowed);
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
      refuse(response, error);
    }
  };
}

function authorize(request: http.IncomingMessage, joinToken: string): void {
  const path = request.url?.split("?")[0];
  if (path !== PATH || request.method !== "POST") {
    throw new errors.Refusal(errors.NOT_FOUND, `use POST ${PATH}`);
  }
  const token = security.bearerToken(request.headers.authorization);
  if (token === null || !security.equalSecrets(token, joinToken)) {
    throw new errors.Refusal(errors.KEY_REFUSED, "the join token is wrong");
  }
}

function parse(text: string): backend.Announcement {
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

/** The address must be an origin with an IP number in an allowed range. */
function checkAddress(
  address: string,
  isAllowed: (ip: string) => boolean,
): void {
  const url = new URL(address);
  const ip = url.hostname.replace(/^\[|\]$/g, "");
  const isOrigin = address === url.origin || address === `${url.origin}/`;
  const isHttp = url.protocol === "http:" || url.protocol === "https:";
  if (!isHttp || !isOrigin || !isAllowed(ip)) {
    throw new errors.Refusal(
      errors.INVALID_REQUEST,
      "address: must be an origin with an IP number in an allowed range",
    );
  }
}

function refuse(response: http.ServerResponse, error: unknown): void {
  if (response.destroyed || response.headersSent) return;
  const refusal = error instanceof errors.Refusal
    ? error
    : new errors.Refusal(errors.INTERNAL, "the announcement was not taken");
  const { status, headers, body } = errors.problemResponse(refusal);
  // The rest of a body that was not read must not become a request.
  response.writeHead(status, { ...headers, connection: "close" });
  response.end(body);
}
