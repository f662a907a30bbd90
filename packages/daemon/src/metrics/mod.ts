/**
 * Prometheus metrics of one host.
 *
 * @module
 */
import * as prometheus from "prom-client";

/** Upper bounds of the histogram buckets for latencies, in seconds. */
const LATENCY_BUCKETS_S = [
  0.001,
  0.005,
  0.01,
  0.05,
  0.1,
  0.25,
  0.58,
  1,
  2.5,
  5,
  10,
  30,
  60,
];

/** Sampling interval of the event loop delay, in milliseconds. */
const EVENT_LOOP_SAMPLING_MS = 20;

/** All metrics of a host. The `help` text of each metric describes it. */
export class Metrics {
  readonly registry = new prometheus.Registry();

  readonly requests = new prometheus.Counter({
    name: "ebonypath_requests_total",
    help: "Callers' requests by outcome and, where refused, by problem",
    labelNames: ["outcome", "problem"],
    registers: [this.registry],
  });

  readonly clientFaults = new prometheus.Counter({
    name: "ebonypath_client_faults_total",
    help: "Clients' connections closed for what they held, by limit",
    labelNames: ["listener", "fault"],
    registers: [this.registry],
  });

  readonly queueWait = new prometheus.Histogram({
    name: "ebonypath_queue_wait_seconds",
    help: "Time from a request's arrival to its dispatch",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly firstByte = new prometheus.Histogram({
    name: "ebonypath_first_byte_seconds",
    help: "Time from a request's arrival to the first byte of its answer",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly waiting = new prometheus.Gauge({
    name: "ebonypath_waiting_requests",
    help: "Requests that wait at this host for tokens or for a slot",
    labelNames: ["for"],
    registers: [this.registry],
  });

  readonly running = new prometheus.Gauge({
    name: "ebonypath_running_requests",
    help: "Requests that a backend server runs for this host",
    registers: [this.registry],
  });

  readonly retries = new prometheus.Counter({
    name: "ebonypath_retries_total",
    help: "Requests sent again to another backend server",
    registers: [this.registry],
  });

  readonly current = new prometheus.Gauge({
    name: "ebonypath_current",
    help: "1 while the host's view of the fleet is current",
    registers: [this.registry],
  });

  readonly viewIndex = new prometheus.Gauge({
    name: "ebonypath_view_index",
    help: "Log index up to which the feed is applied",
    registers: [this.registry],
  });

  readonly viewAge = new prometheus.Gauge({
    name: "ebonypath_view_age_seconds",
    help: "Time since the host's view of the fleet was known to be current",
    registers: [this.registry],
  });

  readonly backendServers = new prometheus.Gauge({
    name: "ebonypath_backend_servers",
    help: "Backend servers in the host's view by whether they get work",
    labelNames: ["usable"],
    registers: [this.registry],
  });

  readonly serverSlots = new prometheus.Gauge({
    name: "ebonypath_server_slots",
    help: "Requests that usable backend servers may run at once, fleet-wide",
    registers: [this.registry],
  });

  readonly exchanges = new prometheus.Counter({
    name: "ebonypath_exchanges_total",
    help: "Exchanges with the leader by result",
    labelNames: ["result"],
    registers: [this.registry],
  });

  readonly shareTokens = new prometheus.Gauge({
    name: "ebonypath_share_tokens",
    help: "Tokens that this host may use now, by workspace",
    labelNames: ["workspace"],
    registers: [this.registry],
  });

  readonly orders = new prometheus.Counter({
    name: "ebonypath_orders_total",
    help: "Orders to backend servers by kind and result",
    labelNames: ["kind", "result"],
    registers: [this.registry],
  });

  readonly leading = new prometheus.Gauge({
    name: "ebonypath_leading",
    help: "1 while this host leads the replicated state",
    registers: [this.registry],
  });

  readonly term = new prometheus.Gauge({
    name: "ebonypath_term",
    help: "Term of the replicated state at this control host",
    registers: [this.registry],
  });

  readonly appliedIndex = new prometheus.Gauge({
    name: "ebonypath_applied_index",
    help: "Log index applied at this control host",
    registers: [this.registry],
  });

  readonly spareVoters = new prometheus.Gauge({
    name: "ebonypath_spare_voters",
    help: "Voters that may be lost before changes stop, at the leader alone",
    registers: [this.registry],
  });

  readonly grantablePools = new prometheus.Gauge({
    name: "ebonypath_grantable_pools",
    help: "Pools of which shares may be granted, in this host's state",
    labelNames: ["kind"],
    registers: [this.registry],
  });

  readonly quarantined = new prometheus.Gauge({
    name: "ebonypath_quarantined_requests",
    help: "Requests in quarantine, in the host's view",
    registers: [this.registry],
  });

  readonly replicas = new prometheus.Gauge({
    name: "ebonypath_replicas",
    help: "Replicas decided, at the leader",
    registers: [this.registry],
  });

  readonly commit = new prometheus.Histogram({
    name: "ebonypath_commit_seconds",
    help: "Time from a proposal at the leader to its result, when committed",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly deferredRequests = new prometheus.Gauge({
    name: "ebonypath_deferred_requests",
    help: "Deferred requests that have not ended, in this host's state",
    labelNames: ["phase"],
    registers: [this.registry],
  });

  readonly deferredAge = new prometheus.Gauge({
    name: "ebonypath_deferred_oldest_seconds",
    help: "Age of the oldest deferred request that waits for a host",
    registers: [this.registry],
  });

  constructor() {
    prometheus.collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_MS,
    });
  }
}
