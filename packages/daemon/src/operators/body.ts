import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as httpBody from "../http_body/mod.ts";

/** Most schema issues that are told in one refusal. */
const TOLD_ISSUES = 10;

/**
 * Reads a JSON body and checks it against a schema.
 *
 * @throws {protocol.errors.Refusal} too large, too slow, or not valid.
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
  const result = v.safeParse(schema, parse(bytes));
  if (result.success) return result.output;
  const told = result.issues.slice(0, TOLD_ISSUES).map(renderIssue);
  throw invalidRequest(told.join("; "));
}

/** A refusal of a malformed request. */
export function invalidRequest(detail: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(protocol.errors.INVALID_REQUEST, detail);
}

function parse(bytes: Buffer): unknown {
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
