/**
 * Requests and answers in the form in which the replicated state keeps them.
 *
 * @module
 */
import { Buffer, isUtf8 } from "node:buffer";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as types from "./types.ts";

/**
 * Size of a text in a command, where quotes and control characters take more
 * than their own bytes.
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
 * Brings a request into the form that waits in the replicated state.
 *
 * @throws {protocol.errors.Refusal} it does not fit, or is not text
 *
 * @example
 * ```ts
 * const stored = toStored(work, "web-shop", "application/json");
 * ```
 */
export function toStoredRequest(
  work: types.Work,
  workspace: string,
  contentType: string,
): protocol.state.StoredRequest {
  // The state keeps text: other bytes would come out of it changed.
  if (!isUtf8(work.body)) {
    throw refusal(
      protocol.errors.INVALID_REQUEST,
      "the body of a deferred request has to be text in UTF-8",
    );
  }
  const body = work.body.toString("utf8");
  if (jsonBytes(body) > protocol.state.STORED_BYTES) {
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
  // Only the path and the content type are the caller's and may be too long.
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
  definition: protocol.errors.Definition,
  detail: string,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(definition, detail, {
    step: "accept-deferred",
  });
}
