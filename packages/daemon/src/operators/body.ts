import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";

/** Bounds of one request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time for the whole body, in milliseconds. */
  readonly timeoutMs: number;
}

/** Most schema issues that are told in one refusal. */
const TOLD_ISSUES = 10;

/**
 * Reads a JSON body and checks it against a schema.
 *
 * @throws {protocol.errors.Refusal} too large, too slow, or not valid.
 * @example
 * ```ts
 * const { changeId } = await readJson(request, protocol.operators.Change, limits);
 * ```
 */
export async function readJson<S extends v.GenericSchema<unknown, unknown>>(
  request: http.IncomingMessage,
  schema: S,
  limits: BodyLimits,
): Promise<v.InferOutput<S>> {
  const bytes = await readBytes(request, limits);
  const result = v.safeParse(schema, parse(bytes));
  if (result.success) return result.output;
  const told = result.issues.slice(0, TOLD_ISSUES).map(renderIssue);
  throw invalid(told.join("; "));
}

/** A refusal of a malformed request. */
export function invalid(detail: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(protocol.errors.INVALID_REQUEST, detail);
}

function parse(bytes: Buffer): unknown {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return JSON.parse(text);
  } catch (error) {
    throw invalid(`the body is not JSON: ${(error as Error).message}`);
  }
}

function renderIssue(issue: v.BaseIssue<unknown>): string {
  const path = v.getDotPath(issue) ?? "body";
  return `${path}: ${issue.message}`;
}

function readBytes(
  request: http.IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  const { errors } = protocol;
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      const detail = `the body took longer than ${limits.timeoutMs} ms`;
      finish(new errors.Refusal(errors.REQUEST_TIMEOUT, detail));
    }, limits.timeoutMs);
    const finish = (error?: Error) => {
      clearTimeout(timer);
      request.removeAllListeners("data");
      request.pause();
      if (error === undefined) resolve(Buffer.concat(parts));
      else reject(error);
    };
    request.on("data", (part: Buffer) => {
      size += part.length;
      if (size <= limits.maxBytes) {
        parts.push(part);
        return;
      }
      const detail = `the body exceeds ${limits.maxBytes} bytes`;
      finish(new errors.Refusal(errors.TOO_LARGE, detail));
    });
    request.once("end", () => finish());
    request.once("error", finish);
    request.once("close", () => finish(invalid("the body was cut off")));
  });
}
