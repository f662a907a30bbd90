import type * as http from "node:http";
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as security from "../security/mod.ts";

/** Who sent a request. */
export interface Caller {
  readonly workspace: string;
  readonly keyDigest: string;
}

/**
 * Finds the workspace whose key came with a request.
 *
 * Keys have 256 random bits and are looked up by their digest, so the look-up
 * leaks nothing useful through its timing.
 *
 * @throws {protocol.errors.Refusal} the key is missing, unknown or withdrawn
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
 * The workspace of a key that is in force.
 *
 * @throws {protocol.errors.Refusal} the key is unknown or withdrawn
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
