import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time from the headers to the end of the body, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Reads a request body.
 *
 * @throws {protocol.errors.Refusal} too large, too slow, or cut
 *
 * @example
 * ```ts
 * const body = await readBody(request, { maxBytes: 1e6, timeoutMs: 10_000 });
 * ```
 */
export function readBody(
  request: http.IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => fail(tooSlow(limits)), limits.timeoutMs);

    const cutOff = () => fail(cut(undefined));

    function fail(refusal: protocol.errors.Refusal): void {
      clearTimeout(timer);
      request.off("data", take);
      request.pause();
      reject(refusal);
    }

    function take(part: Buffer): void {
      bytes += part.length;
      if (bytes > limits.maxBytes) return fail(tooLarge(limits));
      parts.push(part);
    }

    function complete(): void {
      clearTimeout(timer);
      // The close that follows is no fault, and an error costs time to make.
      request.off("close", cutOff);
      resolve(Buffer.concat(parts));
    }

    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > limits.maxBytes) return fail(tooLarge(limits));
    request.on("data", take);
    request.on("end", complete);
    request.on("error", (cause) => fail(cut(cause)));
    request.on("close", cutOff);
  });
}

function tooLarge(limits: BodyLimits): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.TOO_LARGE,
    `the body has more than ${limits.maxBytes} bytes`,
    { step: "read-body" },
  );
}

function tooSlow(limits: BodyLimits): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.REQUEST_TIMEOUT,
    `the body did not arrive within ${limits.timeoutMs} ms`,
    { step: "read-body" },
  );
}

function cut(cause: unknown): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.INVALID_REQUEST,
    "the body ended early",
    { step: "read-body", cause },
  );
}
