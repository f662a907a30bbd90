/**
 * Turns a caller's request into work: checks it against the configuration and
 * fixes its tier, deadline and reservation.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as security from "../security/mod.ts";
import type * as authentication from "./authentication.ts";
import type * as types from "./types.ts";

/** Header that names a price tier. */
const TIER_HEADER = "ebonypath-tier";
/** Headers of the caller that backend servers may see. */
const PASSED_HEADERS = [
  "accept",
  "content-type",
  "traceparent",
  "tracestate",
] as const;
/** Tiers that wait at most this long are urgent, in milliseconds. */
const URGENT_WAIT_MS = 5_000;
/** Length of the prompt prefix that decides cache affinity, in bytes. */
const AFFINITY_LENGTH = 512;
/** Length of the name of a prompt prefix, in characters. */
const AFFINITY_NAME_LENGTH = 16;

const TokenCount = v.pipe(v.number(), v.integer(), v.minValue(1));

const InferenceBody = v.looseObject({
  model: protocol.backend.ModelReference,
  stream: v.optional(v.nullable(v.boolean())),
  max_tokens: v.optional(v.nullable(TokenCount)),
  max_completion_tokens: v.optional(v.nullable(TokenCount)),
  n: v.optional(v.nullable(v.literal(1))),
  messages: v.optional(v.array(v.looseObject({ role: v.string() }))),
  prompt: v.optional(v.union([v.string(), v.array(v.string())])),
});
type InferenceBody = v.InferOutput<typeof InferenceBody>;

/** What a request is resolved against. */
export interface ResolutionContext {
  readonly requestId: string;
  readonly view: core.state.View;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** The OpenAI-compatible inference paths. */
export type InferencePath = "/v1/chat/completions" | "/v1/completions";

/**
 * Resolves a chat or legacy completion.
 *
 * @throws {protocol.errors.Refusal} malformed, or not for this workspace
 *
 * @example
 * ```ts
 * const work = resolveInference(path, request, body, caller, resolution);
 * ```
 */
export function resolveInference(
  path: InferencePath,
  request: http.IncomingMessage,
  body: Buffer,
  caller: authentication.Caller,
  resolution: ResolutionContext,
): types.Work {
  const parsed = parseInference(path, body);
  const catalogue = resolution.view.catalogue;
  const resolved = catalogue.model(parsed.model);
  if (
    resolved === undefined ||
    !catalogue.allows(resolved.service.name, caller.workspace)
  ) {
    throw notFound(`there is no model ${parsed.model} for this workspace`);
  }
  const service = resolved.service.name;
  const tier = tierOf(request, service, catalogue);
  return {
    requestId: resolution.requestId,
    workspace: caller.workspace,
    keyDigest: caller.keyDigest,
    service,
    target: parsed.model,
    method: "POST",
    path,
    headers: passedHeaders(request),
    priority: priorityOf(tier),
    body,
    stream: parsed.stream === true,
    idempotent: true,
    // No tokenizer yields more tokens than the text has bytes.
    tokens: body.length + generatedTokens(parsed, resolved),
    tier,
    deadline: resolution.now + tier.maxWaitMs,
    fingerprint: fingerprintOf(caller.workspace, parsed.model, body),
    affinity: affinityOf(parsed.model, body),
  };
}

/** What a call of a plain service names. */
export interface ServiceCall {
  readonly service: string;
  /** Path below `/services/{service}`, without the query. */
  readonly path: string;
  /** The query with its question mark, or nothing. */
  readonly query: string;
}

/**
 * Resolves a call of a plain service.
 *
 * @param caller null where no valid key came; enough for open routes only
 * @throws {protocol.errors.Refusal} no such route, or not for this workspace
 *
 * @example
 * ```ts
 * const work = resolveCall(call, request, body, () => caller, resolution);
 * ```
 */
export function resolveServiceCall(
  call: ServiceCall,
  request: http.IncomingMessage,
  body: Buffer,
  caller: () => authentication.Caller,
  resolution: ResolutionContext,
): types.Work {
  const catalogue = resolution.view.catalogue;
  const method = request.method ?? "GET";
  const resolved = catalogue.route(call.service, method, call.path);
  const who = resolved?.route.open === true ? null : caller();
  const allowed = who === null ||
    catalogue.allows(call.service, who.workspace);
  if (resolved === undefined || !allowed) {
    throw notFound(`there is no route ${method} ${call.path}`);
  }
  const tier = tierOf(request, call.service, catalogue);
  const workspace = who?.workspace ?? null;
  return {
    requestId: resolution.requestId,
    workspace,
    keyDigest: who?.keyDigest ?? null,
    service: call.service,
    target: call.service,
    method,
    path: call.path + call.query,
    headers: passedHeaders(request),
    priority: priorityOf(tier),
    body,
    stream: false,
    idempotent: resolved.route.idempotent,
    tokens: resolved.route.cost,
    tier,
    deadline: resolution.now + tier.maxWaitMs,
    fingerprint: fingerprintOf(
      workspace ?? "",
      `${call.service} ${method} ${call.path}${call.query}`,
      body,
    ),
    affinity: null,
  };
}

function parseInference(path: InferencePath, body: Buffer): InferenceBody {
  const parsed = v.safeParse(InferenceBody, parseJson(body));
  if (!parsed.success) {
    const issue = parsed.issues[0];
    throw invalid(`${v.getDotPath(issue) ?? "body"}: ${issue.message}`);
  }
  const needed = path === "/v1/chat/completions" ? "messages" : "prompt";
  if (parsed.output[needed] === undefined) throw invalid(`${needed}: missing`);
  return parsed.output;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    throw invalid("the body is not JSON");
  }
}

function tierOf(
  request: http.IncomingMessage,
  service: string,
  catalogue: core.state.Catalogue,
): protocol.configuration.Tier {
  const header = request.headers[TIER_HEADER];
  const name = typeof header === "string" ? header : undefined;
  const tier = catalogue.tier(service, name);
  if (tier === undefined) throw invalid(`${TIER_HEADER}: no tier ${name}`);
  return tier;
}

/** Callers that wait less go first; deferred work goes last. */
function priorityOf(tier: protocol.configuration.Tier): number {
  if (tier.delivery === "deferred") return 0;
  return tier.maxWaitMs <= URGENT_WAIT_MS ? 2 : 1;
}

function passedHeaders(
  request: http.IncomingMessage,
): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const name of PASSED_HEADERS) {
    const value = request.headers[name];
    if (typeof value === "string") passed[name] = value;
  }
  return passed;
}

/** A short name of the beginning of the prompt: hints must stay small. */
function affinityOf(model: string, body: Buffer): string {
  return security.digest(
    `${model}\n${body.toString("utf8", 0, AFFINITY_LENGTH)}`,
  ).slice(0, AFFINITY_NAME_LENGTH);
}

function fingerprintOf(
  workspace: string,
  target: string,
  body: Buffer,
): string {
  const content = security.digestBytes(body);
  return security.digest(`${workspace}\n${target}\n${content}`);
}

function invalid(detail: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.INVALID_REQUEST,
    detail,
    { step: "resolve" },
  );
}

function notFound(detail: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(protocol.errors.NOT_FOUND, detail, {
    step: "resolve",
  });
}

/**
 * Turns a stored request of a deferred tier back into work.
 *
 * @throws {protocol.errors.Refusal} it is no longer in the configuration
 *
 * @example
 * ```ts
 * const work = resolveStored(stored, 60_000, resolution);
 * ```
 */
export function resolveStored(
  stored: protocol.state.StoredRequest,
  remainingMs: number,
  resolution: ResolutionContext,
): types.Work {
  const catalogue = resolution.view.catalogue;
  const tier = catalogue.tier(stored.service, stored.tier);
  const target = stored.model ?? stored.service;
  const body = Buffer.from(stored.body);
  if (
    tier === undefined || !catalogue.allows(stored.service, stored.workspace)
  ) {
    throw notFound(`${target} is not served to this workspace any longer`);
  }
  return {
    requestId: resolution.requestId,
    workspace: stored.workspace,
    keyDigest: null,
    service: stored.service,
    target,
    method: stored.method,
    path: stored.path,
    headers: { "content-type": stored.contentType },
    priority: 0,
    body,
    stream: false,
    idempotent: stored.idempotent,
    tokens: storedTokens(stored, body, catalogue),
    tier,
    deadline: resolution.now + remainingMs,
    fingerprint: fingerprintOf(stored.workspace, target, body),
    affinity: null,
  };
}

function storedTokens(
  stored: protocol.state.StoredRequest,
  body: Buffer,
  catalogue: core.state.Catalogue,
): number {
  if (stored.model === undefined) {
    const [path = "/"] = stored.path.split("?");
    const resolved = catalogue.route(stored.service, stored.method, path);
    if (resolved === undefined) throw notFound(`there is no route ${path}`);
    return resolved.route.cost;
  }
  const resolved = catalogue.model(stored.model);
  if (resolved === undefined) throw notFound(`there is no ${stored.model}`);
  const parsed = v.parse(InferenceBody, parseJson(body));
  return body.length + generatedTokens(parsed, resolved);
}

function generatedTokens(
  body: InferenceBody,
  resolved: core.state.ResolvedModel,
): number {
  return body.max_completion_tokens ?? body.max_tokens ??
    resolved.model.defaultMaxTokens;
}
