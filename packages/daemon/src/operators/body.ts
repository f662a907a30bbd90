import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as httpBody from "../http_body/mod.ts";

/** Maximum number of schema issues listed in one error response. */
const MAX_REPORTED_ISSUES = 10;

/**
 * Reads a JSON request body and validates it against a schema.
 *
 * @throws {protocol.errors.Refusal} if the body is too large, arrives too slowly
 *   or is invalid.
 * @example
 * ```ts
 * const { changeId } = await readJson(request, protocol.operators.ChangeRequest, limits);
 * ```
 */
export async function readJson<S extends v.GenericSchema<unknown, unknown>>(
  request: http.IncomingMessage,
  schema: S,
  limits: httpBody.BodyLimits,
): Promise<v.InferOutput<S>> {
  const bytes = await httpBody.readBody(request, limits);
  const result = v.safeParse(schema, parseJson(bytes));
  if (result.success) return result.output;
  const messages = result.issues.slice(0, MAX_REPORTED_ISSUES).map(renderIssue);
  throw invalidRequest(messages.join("; "));
}

/** Creates the error for a malformed request. */
export function invalidRequest(detail: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(protocol.errors.INVALID_REQUEST, detail);
}

function parseJson(bytes: Buffer): unknown {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return JSON.parse(text);
  } catch (error) {
    throw invalidRequest(`the body is not JSON: ${(error as Error).message}`);
  }
}

function renderIssue(issue: v.BaseIssue<unknown>): string {
  const path = v.getDotPath(issue) ?? "body";
  return `${path}: ${issue.message}`;
}
