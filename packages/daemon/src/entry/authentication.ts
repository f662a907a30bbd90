import type * as http from "node:http";
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as security from "../security/mod.ts";

/** The authenticated sender of a request. */
export interface Caller {
  readonly workspace: string;
  readonly keyDigest: string;
}

/**
 * Authenticates a request by its bearer key.
 *
 * Keys have 256 random bits and are looked up by digest, so the timing of the
 * lookup leaks nothing useful.
 *
 * @throws {protocol.errors.Refusal} the key is missing, unknown or revoked
 *
 * @example
 * ```ts
 * const caller = authenticate(request, fleet.view);
 * ```
 */
export function authenticate(
  request: http.IncomingMessage,
  view: core.state.FleetViewCache,
): Caller {
  const token = security.bearerToken(request.headers.authorization);
  if (token === null) {
    throw new protocol.errors.Refusal(
      protocol.errors.KEY_REFUSED,
      "the request has no bearer key",
      { step: "authenticate" },
    );
  }
  const keyDigest = security.digest(token);
  return { workspace: workspaceOf(keyDigest, view), keyDigest };
}

/**
 * Returns the workspace of a valid key.
 *
 * @throws {protocol.errors.Refusal} the key is unknown or revoked
 *
 * @example
 * ```ts
 * workspaceOf(work.keyDigest, fleet.view);
 * ```
 */
export function workspaceOf(
  keyDigest: string,
  view: core.state.FleetViewCache,
): string {
  const key = view.key(keyDigest);
  if (key !== undefined) return key.workspace;
  throw new protocol.errors.Refusal(
    protocol.errors.KEY_REFUSED,
    "the key is unknown or withdrawn",
    { step: "authenticate" },
  );
}
