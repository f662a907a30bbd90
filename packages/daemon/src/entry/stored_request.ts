/**
 * Conversion of requests to the form stored in the replicated state.
 *
 * @module
 */
import { Buffer, isUtf8 } from "node:buffer";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as types from "./types.ts";

/**
 * Returns the size of a text in a command, without its quotes. Escaped
 * characters, such as quotes and control characters, take more than one byte.
 *
 * @example
 * ```ts
 * jsonBytes("\n"); // 2
 * ```
 */
export function jsonBytes(text: string): number {
  const quotes = 2;
  return Buffer.byteLength(JSON.stringify(text)) - quotes;
}

/**
 * Converts a request to the form stored in the replicated state.
 *
 * @throws {protocol.errors.Refusal} the request is too large or not UTF-8 text
 *
 * @example
 * ```ts
 * const stored = toStoredRequest(work, "web-shop", "application/json");
 * ```
 */
export function toStoredRequest(
  work: types.Work,
  workspace: string,
  contentType: string,
): protocol.state.StoredRequest {
  // The state stores text, so other bytes would not survive the round trip.
  if (!isUtf8(work.body)) {
    throw refusal(
      protocol.errors.INVALID_REQUEST,
      "the body of a deferred request has to be text in UTF-8",
    );
  }
  const body = work.body.toString("utf8");
  if (jsonBytes(body) > protocol.state.MAX_STORED_BODY_BYTES) {
    throw tooLarge("the body");
  }
  const stored = {
    workspace,
    service: work.service,
    ...(work.target === work.service ? {} : { model: work.target }),
    method: work.method,
    path: work.path,
    contentType,
    body,
    tier: work.tier.name,
    idempotent: work.idempotent,
  };
  // Of the other fields, the caller sets only the path and the content type.
  if (!v.is(protocol.state.StoredRequest, stored)) throw tooLarge("the head");
  return stored;
}

function tooLarge(part: string): protocol.errors.Refusal {
  return refusal(
    protocol.errors.TOO_LARGE,
    `${part} is too large for a deferred tier`,
  );
}

function refusal(
  definition: protocol.errors.ProblemDefinition,
  detail: string,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(definition, detail, {
    step: "accept-deferred",
  });
}
