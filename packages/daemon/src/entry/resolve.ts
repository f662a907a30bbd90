/**
 * Resolves a caller's request to work: validates it against the configuration
 * and determines its tier, deadline and token reservation.
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

/** Header with the name of the requested tier. */
const TIER_HEADER = "ebonypath-tier";
/** Request headers that are forwarded to backend servers. */
const FORWARDED_HEADERS = [
  "accept",
  "content-type",
  "traceparent",
  "tracestate",
] as const;
/** Longest wait of a tier with the highest priority, in milliseconds. */
const MAX_URGENT_WAIT_MS = 5_000;
/** Length of the body prefix that determines cache affinity, in bytes. */
const AFFINITY_PREFIX_BYTES = 512;
/** Length of an affinity key, in characters. */
const AFFINITY_KEY_LENGTH = 16;

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

/** Context in which a request is resolved. */
export interface ResolutionContext {
  readonly requestId: string;
  readonly view: core.state.FleetViewCache;
  /** Current monotonic time, in milliseconds. */
  readonly now: number;
}

/** The OpenAI-compatible inference paths. */
export type InferencePath = "/v1/chat/completions" | "/v1/completions";

/**
 * Resolves a chat completion or legacy completion request.
 *
 * @throws {protocol.errors.Refusal} the request is malformed, or its model is
 *   not available to the workspace
 *
 * @example
 * ```ts
 * const work = resolveInference(path, request, body, caller, context);
 * ```
 */
export function resolveInference(
  path: InferencePath,
  request: http.IncomingMessage,
  body: Buffer,
  caller: authentication.Caller,
  context: ResolutionContext,
): types.Work {
  const parsed = parseInference(path, body);
  const catalogue = context.view.catalogue;
  const resolved = catalogue.resolveModel(parsed.model);
  if (
    resolved === undefined ||
    !catalogue.isAllowed(resolved.service.name, caller.workspace)
  ) {
    throw notFound(`there is no model ${parsed.model} for this workspace`);
  }
  const service = resolved.service.name;
  const tier = tierOf(request, service, catalogue);
  return {
    requestId: context.requestId,
    workspace: caller.workspace,
    keyDigest: caller.keyDigest,
    service,
    target: parsed.model,
    method: "POST",
    path,
    headers: forwardedHeaders(request),
    priority: priorityOf(tier),
    body,
    stream: parsed.stream === true,
    idempotent: true,
    // A tokenizer never yields more tokens than the text has bytes.
    tokens: body.length + maxGeneratedTokens(parsed, resolved),
    tier,
    deadline: context.now + tier.maxWaitMs,
    fingerprint: fingerprintOf(caller.workspace, parsed.model, body),
    affinity: affinityKey(parsed.model, body),
  };
}

/** Target of a call to a plain service. */
export interface ServiceCall {
  readonly service: string;
  /** Path below `/services/{service}`, without the query. */
  readonly path: string;
  /** Query string with its question mark, or empty. */
  readonly query: string;
}

/**
 * Resolves a call to a plain service.
 *
 * @param caller Authenticates the caller; not called for open routes.
 * @throws {protocol.errors.Refusal} the route does not exist, or the service is
 *   not available to the workspace
 *
 * @example
 * ```ts
 * const work = resolveServiceCall(call, request, body, () => caller, context);
 * ```
 */
export function resolveServiceCall(
  call: ServiceCall,
  request: http.IncomingMessage,
  body: Buffer,
  caller: () => authentication.Caller,
  context: ResolutionContext,
): types.Work {
  const catalogue = context.view.catalogue;
  const method = request.method ?? "GET";
  const resolved = catalogue.resolveRoute(call.service, method, call.path);
  const authenticated = resolved?.route.open === true ? null : caller();
  const allowed = authenticated === null ||
    catalogue.isAllowed(call.service, authenticated.workspace);
  if (resolved === undefined || !allowed) {
    throw notFound(`there is no route ${method} ${call.path}`);
  }
  const tier = tierOf(request, call.service, catalogue);
  const workspace = authenticated?.workspace ?? null;
  return {
    requestId: context.requestId,
    workspace,
    keyDigest: authenticated?.keyDigest ?? null,
    service: call.service,
    target: call.service,
    method,
    path: call.path + call.query,
    headers: forwardedHeaders(request),
    priority: priorityOf(tier),
    body,
    stream: false,
    idempotent: resolved.route.idempotent,
    tokens: resolved.route.cost,
    tier,
    deadline: context.now + tier.maxWaitMs,
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
  const requiredField = path === "/v1/chat/completions" ? "messages" : "prompt";
  if (parsed.output[requiredField] === undefined) {
    throw invalid(`${requiredField}: missing`);
  }
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

/**
 * Gives tiers with a short wait the highest priority, deferred ones the lowest.
 */
function priorityOf(tier: protocol.configuration.Tier): number {
  if (tier.delivery === "deferred") return 0;
  return tier.maxWaitMs <= MAX_URGENT_WAIT_MS ? 2 : 1;
}

function forwardedHeaders(
  request: http.IncomingMessage,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = request.headers[name];
    if (typeof value === "string") forwarded[name] = value;
  }
  return forwarded;
}

/** Returns a short digest of the body prefix, to keep the hint table small. */
function affinityKey(model: string, body: Buffer): string {
  return security.digest(
    `${model}\n${body.toString("utf8", 0, AFFINITY_PREFIX_BYTES)}`,
  ).slice(0, AFFINITY_KEY_LENGTH);
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
 * Resolves a stored request of a deferred tier to work.
 *
 * @throws {protocol.errors.Refusal} the configuration no longer allows it
 *
 * @example
 * ```ts
 * const work = resolveStored(stored, 60_000, context);
 * ```
 */
export function resolveStored(
  stored: protocol.state.StoredRequest,
  remainingMs: number,
  context: ResolutionContext,
): types.Work {
  const catalogue = context.view.catalogue;
  const tier = catalogue.tier(stored.service, stored.tier);
  const target = stored.model ?? stored.service;
  const body = Buffer.from(stored.body);
  if (
    tier === undefined || !catalogue.isAllowed(stored.service, stored.workspace)
  ) {
    throw notFound(`${target} is not served to this workspace any longer`);
  }
  return {
    requestId: context.requestId,
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
    tokens: reservedTokens(stored, body, catalogue),
    tier,
    deadline: context.now + remainingMs,
    fingerprint: fingerprintOf(stored.workspace, target, body),
    affinity: null,
  };
}

/**
 * Resolves a question about a request to the work that it would be.
 *
 * @throws {protocol.errors.Refusal} no such key, model, route or tier
 *
 * @example
 * ```ts
 * const work = resolveQuestion({ target: "advice/last", key: "k-1" }, context);
 * ```
 */
export function resolveQuestion(
  question: protocol.operators.Question,
  { now, requestId, view }: ResolutionContext,
): types.Work {
  const { key: keyId, method = "GET", path = "/", target } = question;
  const { catalogue } = view;
  const model = catalogue.resolveModel(target);
  const route = catalogue.resolveRoute(target, method, path)?.route;
  const service = model?.service.name ?? target;
  if (model === undefined && route === undefined) {
    throw noSuchItem(
      catalogue.service(target) === undefined
        ? `there is no model or service ${target}`
        : `service ${target} has no route ${method} ${path}`,
    );
  }
  const key = keyId === undefined ? undefined : view.keyById(keyId);
  if (keyId !== undefined && key === undefined) {
    throw noSuchItem(`there is no key ${keyId}`);
  }
  const isOpen = route?.open === true;
  if (key === undefined && !isOpen) {
    throw noSuchItem(`${target} is not open: name the key of a caller`);
  }
  const workspace = isOpen ? null : key?.workspace ?? null;
  if (workspace !== null && !catalogue.isAllowed(service, workspace)) {
    throw noSuchItem(`workspace ${workspace} may not use ${service}`);
  }
  const tier = catalogue.tier(service, question.tier);
  if (tier === undefined) {
    throw noSuchItem(`${service} has no tier ${question.tier}`);
  }
  return {
    requestId,
    workspace,
    keyDigest: key?.digest ?? null,
    service,
    target,
    method: model === undefined ? method : "POST",
    path,
    headers: {},
    priority: priorityOf(tier),
    body: Buffer.alloc(0),
    stream: false,
    idempotent: route?.idempotent ?? true,
    tokens: question.tokens ?? route?.cost ?? model?.model.defaultMaxTokens ??
      0,
    tier,
    deadline: now + tier.maxWaitMs,
    fingerprint: "",
    affinity: null,
  };
}

function noSuchItem(detail: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(protocol.errors.NO_SUCH_ITEM, detail, {
    step: "explain",
  });
}

function reservedTokens(
  stored: protocol.state.StoredRequest,
  body: Buffer,
  catalogue: core.state.Catalogue,
): number {
  if (stored.model === undefined) {
    const [path = "/"] = stored.path.split("?");
    const resolved = catalogue.resolveRoute(
      stored.service,
      stored.method,
      path,
    );
    if (resolved === undefined) throw notFound(`there is no route ${path}`);
    return resolved.route.cost;
  }
  const resolved = catalogue.resolveModel(stored.model);
  if (resolved === undefined) throw notFound(`there is no ${stored.model}`);
  const parsed = v.parse(InferenceBody, parseJson(body));
  return body.length + maxGeneratedTokens(parsed, resolved);
}

function maxGeneratedTokens(
  body: InferenceBody,
  resolved: core.state.ResolvedModel,
): number {
  return body.max_completion_tokens ?? body.max_tokens ??
    resolved.model.defaultMaxTokens;
}
