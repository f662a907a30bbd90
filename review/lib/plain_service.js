/**
 * A plain service with a runner in each failure domain, and its callers.
 *
 * @module
 */
// deno-lint-ignore-file camelcase -- field names of the users' pages
import * as calls from "./calls.js";
import * as fleets from "./fleet.js";
import * as runners from "./runner.js";

const HOST = "hjorth.example";
export const PREFIX = "/orders/";
export const SERVICE = "ordrebog";
const ENGINE_SERVICE = "tofler-advisor";
const DEADLINE_MS = 2_500;
const KEY = "k-shop-1";
const ROUTE = {
  name: "place-order",
  host: HOST,
  path_prefix: PREFIX,
  route_type: "unsafe",
  timeout_ms: DEADLINE_MS,
  target_latency_ms: 193,
  priority: 2,
  service: SERVICE,
  max_attempts: 1,
  public: false,
  sticky: false,
  resumable: false,
};

/** Written as the example of the protocol page. */
const ADDED_ROUTE = {
  name: "",
  host: HOST,
  path_prefix: "",
  route_type: "streaming",
  timeout_ms: 15_000,
  target_latency_ms: 600,
  priority: 1,
  traffic_split: [{ service: SERVICE, weight: 90 }, {
    service: ENGINE_SERVICE,
    weight: 10,
  }],
  max_attempts: 1,
  public: false,
  sticky: true,
  resumable: false,
  target_gap_ms: 300,
};
/** Models of the engines on the Hjorth site. */
const MODELS = Array.from({ length: 51 }, (_, index) => ({
  name: `m${index}`,
  weights_mb: 72_700,
  load_time_s: 6,
  adapters: 0,
  adapter_size_mb: 66,
  warm_s: 1.2,
  disk_s: 1.6,
}));
const ENGINE = {
  slots: 64,
  kv_capacity: 118_861,
  kv_token_bytes: 163_840,
  link_mbps: 370_000,
  moves: true,
  backups: true,
  stride: 3,
  max_count: 12,
  host_mb: 160_000,
  disk_mb: 1_400_000,
  pin_ms: 4_000,
  hold_ms: 2_000,
  handle_s: 5,
  models: MODELS,
  weights_mb: 230_000,
  adapter_slots: 8,
  loads_per_s: 4.2,
};

/**
 * Configuration of one route to the service, for one workspace.
 *
 * @param addedRoutes number of further routes to the same service
 */
export function configuration(
  version,
  tenant = {},
  route = {},
  addedRoutes = 0,
) {
  const added = Array.from({ length: addedRoutes }, (_, index) => ({
    ...ADDED_ROUTE,
    name: `r-${index + 100_000}`,
    path_prefix: `/added${index}/`,
  }));
  return JSON.stringify({
    version,
    routes: [{ ...ROUTE, ...route }, ...added],
    services: [{
      name: SERVICE,
      health_path: "/health",
      max_conns: 100,
      protocol: "h1",
      tls: false,
      cold_start_s: 0,
      cold_per_s: 0,
    }, {
      name: ENGINE_SERVICE,
      health_path: "/health",
      max_conns: 360,
      protocol: "h1",
      tls: false,
      cold_start_s: 3,
      cold_per_s: 12,
      engine: ENGINE,
    }],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{
      name: "shop",
      api_keys: [KEY],
      priority: 1,
      unit: "token_metered",
      plain_tokens: 200,
      rate_per_s: 0,
      burst: 0,
      ...tenant,
    }],
  });
}

/** Starts one runner in each failure domain. */
export async function startRunners({ defer, fleet, record }) {
  const started = [];
  for (const [index, zone] of fleets.ZONES.entries()) {
    const runner = new runners.Runner({
      hosts: () => fleet.control,
      id: `i-${zone}`,
      ip: fleet.standInIp(index),
      record,
      service: SERVICE,
      zone,
    });
    defer(() => runner.stop());
    started.push(await runner.start());
  }
  return started;
}

/** Headers of a request of the workspace. */
export function callerHeaders(id, deadlineMs) {
  return {
    host: HOST,
    "request-id": id,
    "deadline-ms": deadlineMs,
    "api-key": KEY,
  };
}

/** Sends one request of the workspace to an entry host. */
export async function request(
  host,
  id,
  record,
  headers = {},
  prefix = PREFIX,
) {
  record(`client sends ${id} to ${host.name}`);
  const answer = await calls.send(
    host.addresses.callers,
    "POST",
    `${prefix}2f`,
    {
      headers: { ...callerHeaders(id, DEADLINE_MS), ...headers },
      timeoutMs: DEADLINE_MS,
    },
  ).catch((error) => ({ status: error.message }));
  record(`client gets ${answer.status} for ${id}`);
  return answer;
}
