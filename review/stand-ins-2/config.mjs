/** Builds configurations in the format of the users' pages. */

export const HOST = "shop.example";
export const MODEL = "m0";
export const OTHER_MODEL = "m1";

export function model(name) {
  return {
    name,
    weights_mb: 72_700,
    load_time_s: 6,
    adapters: 2,
    adapter_size_mb: 66,
    warm_s: 1.2,
    disk_s: 1.6,
  };
}

/** The engine of a service of model runners, as in the example of the pages. */
export function engine() {
  return {
    slots: 64,
    kv_capacity: 118_861,
    kv_token_bytes: 163_840,
    link_mbps: 370_000,
    moves: true,
    backups: true,
    stride: 3,
    max_count: 12,
    host_mb: 150_000,
    disk_mb: 1_400_000,
    pin_ms: 4_000,
    hold_ms: 2_000,
    handle_s: 5,
    models: [model(MODEL), model(OTHER_MODEL)],
    weights_mb: 230_000,
    adapter_slots: 8,
    loads_per_s: 4.2,
  };
}

export function engineService(name, coldPerSecond = 12) {
  return {
    name,
    health_path: "/health",
    max_conns: 360,
    protocol: "h1",
    tls: false,
    cold_start_s: 3,
    cold_per_s: coldPerSecond,
    engine: engine(),
  };
}

export function plainService(name) {
  return {
    name,
    health_path: "/health",
    max_conns: 100,
    protocol: "h1",
    tls: false,
    cold_start_s: 0,
    cold_per_s: 0,
  };
}

/** A route; `fields` replace the usual ones. */
export function route(name, kind, service, fields = {}) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_type: kind,
    timeout_ms: kind === "streaming" ? 25_000 : 2_500,
    target_latency_ms: kind === "streaming" ? 600 : 193,
    priority: 1,
    service,
    max_attempts: kind === "unsafe" ? 1 : 2,
    public: false,
    sticky: kind === "streaming",
    resumable: false,
    ...(kind === "streaming" ? { target_gap_ms: 300 } : {}),
    ...fields,
  };
}

export function tenant(name, key, fields = {}) {
  return {
    name,
    api_keys: [key],
    priority: 1,
    unit: "token_metered",
    plain_tokens: 200,
    rate_per_s: 22_508,
    burst: 22_508,
    ...fields,
  };
}

export function configuration(version, fields) {
  return JSON.stringify({
    version,
    routes: [],
    services: [],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...fields,
  });
}
