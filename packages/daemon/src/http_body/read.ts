import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import { BodyCollector } from "./body_collector.ts";

/** Size limit and timeout for a request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Timeout from the headers to the end of the body, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Reads a request body into memory.
 *
 * @throws {protocol.errors.Refusal} if the body is too large, arrives too
 * slowly or is truncated
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
    const body = new BodyCollector();
    const timer = setTimeout(() => fail(tooSlow(limits)), limits.timeoutMs);

    const onClose = () => fail(truncated(undefined));

    function fail(refusal: protocol.errors.Refusal): void {
      clearTimeout(timer);
      request.off("data", onData);
      request.pause();
      body.clear();
      reject(refusal);
    }

    function onData(chunk: Buffer): void {
      body.append(chunk);
      if (body.length > limits.maxBytes) return fail(tooLarge(limits));
    }

    function onEnd(): void {
      clearTimeout(timer);
      // The `close` event that follows is expected. Creating an error for it
      // would cost time.
      request.off("close", onClose);
      resolve(body.take());
    }

    const contentLength = Number(request.headers["content-length"] ?? 0);
    if (contentLength > limits.maxBytes) return fail(tooLarge(limits));
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("error", (cause) => fail(truncated(cause)));
    request.on("close", onClose);
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

function truncated(cause: unknown): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.INVALID_REQUEST,
    "the body ended early",
    { step: "read-body", cause },
  );
}
