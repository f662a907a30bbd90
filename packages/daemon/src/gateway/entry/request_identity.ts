/**
 * Identifies requests that come again: each attempt of a caller has its own id.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import type { gateway, suspicion } from "@ebonypath/protocol";
import * as security from "../../security/mod.ts";
import * as requestAttributes from "./request_attributes.ts";

/** What identifies a request. */
export type IdentifiedRequest = {
  readonly request: Pick<http.IncomingMessage, "headers" | "method" | "url">;
  readonly body: Buffer | undefined;
  /** Caller; absent on routes without keys. */
  readonly workspace: gateway.Workspace | undefined;
  readonly content: requestAttributes.SharedContent;
};

/**
 * A request as it is recognized when it comes again, whichever id it bears.
 *
 * @example
 * ```ts
 * const identity = new RequestIdentity({ request, body, workspace, content });
 * identity.fingerprint; // "9f86d081884c7d65…"
 * ```
 */
export class RequestIdentity {
  readonly #request: IdentifiedRequest;
  #fingerprint: string | undefined;
  #attributes: readonly suspicion.Attribute[] | undefined;

  constructor(request: IdentifiedRequest) {
    this.#request = request;
  }

  /**
   * A digest of the workspace, method, target and body. Ids, deadlines and the
   * position in a stream are left out: they differ when the request is sent
   * again. Computed when first needed, as few requests need one.
   */
  get fingerprint(): string {
    return this.#fingerprint ??= fingerprintOf(this.#request);
  }

  /** What it may have in common with other requests, from narrow to wide. */
  get attributes(): readonly suspicion.Attribute[] {
    return this.#attributes ??= requestAttributes.listAttributes(
      this.#request.content,
    );
  }
}

function fingerprintOf(
  { body, request, workspace }: IdentifiedRequest,
): string {
  return requestAttributes.fingerprintOf([
    workspace?.name ?? null,
    request.method,
    request.headers.host?.toLowerCase() ?? "",
    request.url,
    body === undefined ? null : security.digestBytes(body),
  ]);
}
