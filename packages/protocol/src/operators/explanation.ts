import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";
import * as control from "../control/mod.ts";

const Count = v.pipe(v.number(), v.integer(), v.minValue(0));
const MAX_TEXT_LENGTH = 2_048;
const Text = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_TEXT_LENGTH));

/** Query of `GET /v1/explanation`: the request that is asked about. */
export const Question = v.strictObject({
  /** Model reference, or the name of a plain service. */
  target: Text,
  /** Id of the caller's key; needed unless the route is open. */
  key: v.optional(backend.Name),
  /** For a plain service. */
  method: v.optional(v.pipe(v.string(), v.regex(/^[A-Z]{1,16}$/))),
  path: v.optional(v.pipe(Text, v.startsWith("/"))),
  tier: v.optional(backend.Name),
  /** Tokens that the request reserves; the model's default where absent. */
  tokens: v.optional(
    v.pipe(v.string(), v.regex(/^\d{1,9}$/), v.transform(Number)),
  ),
});
export type Question = v.InferOutput<typeof Question>;

/** Why a backend server would not get the request now. */
export const Obstacle = v.picklist([
  "unusable",
  "withdrawn-failure-domain",
  "model-absent",
  "model-loading",
  "ejected",
  "no-free-slot",
]);
export type Obstacle = v.InferOutput<typeof Obstacle>;

/** What would happen to a request. */
export const StartForecast = v.variant("kind", [
  /** Sent at once to one of these servers, the one with most room first. */
  v.object({ kind: v.literal("starts"), servers: v.array(backend.Name) }),
  v.object({
    kind: v.literal("waits"),
    /** What it would have to wait for first. */
    for: v.picklist(["leader", "tokens", "slot", "load"]),
    /** In milliseconds; null where it can't be known. */
    expectedMs: v.nullable(v.number()),
  }),
  /** Refused at once: what it needs is expected too late. */
  v.object({
    kind: v.literal("refused"),
    for: v.picklist(["burst", "tokens", "slot"]),
    /** Status of the answer. */
    status: v.number(),
    /** When the caller would be told to come back, in seconds, if at all. */
    retryAfterSeconds: v.nullable(v.number()),
  }),
]);
export type StartForecast = v.InferOutput<typeof StartForecast>;

/** What is left of a workspace's rate at one host. */
export const RateOutlook = v.object({
  availableTokens: v.number(),
  tokensPerSecond: v.number(),
  /** Tokens of requests that wait before this one. */
  tokensAhead: v.number(),
  /** Most tokens that one request may reserve. */
  burst: v.number(),
});
export type RateOutlook = v.InferOutput<typeof RateOutlook>;

/** A backend server that a request could go to. */
export const Candidate = v.object({
  server: backend.Name,
  failureDomain: backend.Name,
  /** Requests that the host may start on it now. */
  freeSlots: Count,
  /** Requests of the host that run on it. */
  running: Count,
  obstacles: v.array(Obstacle),
});
export type Candidate = v.InferOutput<typeof Candidate>;

/** Response body of `GET /v1/explanation`. */
export const Explanation = v.object({
  host: control.HostIdentity,
  /** Version of the configuration that the host has applied. */
  version: Count,
  target: v.string(),
  /** Null on open routes. */
  workspace: v.nullable(v.string()),
  tier: configuration.Tier,
  tokens: Count,
  /** Null where no rate applies. */
  rate: v.nullable(RateOutlook),
  /** Time after which a start would be too late, in milliseconds. */
  latestStartMs: v.number(),
  candidates: v.array(Candidate),
  forecast: StartForecast,
});
export type Explanation = v.InferOutput<typeof Explanation>;
