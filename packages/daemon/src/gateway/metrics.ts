/**
 * Prometheus metrics of gateway hosts.
 *
 * @module
 */
import * as prometheus from "prom-client";

/** Upper bounds of latency buckets, in seconds; objectives lie between them. */
const LATENCY_BUCKETS = [
  0.05,
  0.1,
  0.2,
  0.3,
  0.6,
  1,
  2,
  3,
  6,
  12,
  25,
];

/** Upper bounds of rollout durations, in seconds; they are to end within 2 s. */
const ROLLOUT_BUCKETS = [0.01, 0.03, 0.1, 0.3, 1, 2, 4, 8];

/**
 * Metrics of one process. It registers those of both roles, entry and control;
 * the ones of the role that it does not have stay at zero.
 */
export class GatewayMetrics {
  readonly registry = new prometheus.Registry();
  readonly requests = new prometheus.Counter({
    name: "ebonypath_gateway_requests_total",
    help: "Requests by how they ended",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });
  readonly latency = new prometheus.Histogram({
    name: "ebonypath_gateway_latency_seconds",
    help: "Time from a request's arrival to the first byte of its answer",
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });
  readonly waitingRequests = new prometheus.Gauge({
    name: "ebonypath_gateway_waiting_requests",
    help: "Requests that wait for a server",
    registers: [this.registry],
  });
  readonly heldRequests = new prometheus.Gauge({
    name: "ebonypath_gateway_held_requests",
    help: "Patient requests that wait until a server has read other prompts",
    registers: [this.registry],
  });
  readonly refusals = new prometheus.Counter({
    name: "ebonypath_gateway_refusals_total",
    help: "Refusals by reason: why no server took the request, or their name",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });
  readonly expectedReturns = new prometheus.Gauge({
    name: "ebonypath_gateway_expected_returns",
    help: "Callers that this host has told to come back and that have not yet",
    registers: [this.registry],
  });
  readonly attempts = new prometheus.Counter({
    name: "ebonypath_gateway_attempts_total",
    help: "Requests sent to servers by what became of them",
    labelNames: ["result"] as const,
    registers: [this.registry],
  });
  readonly resumptions = new prometheus.Counter({
    name: "ebonypath_gateway_resumptions_total",
    help: "Streams that callers took up again, by what the host decided",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });
  readonly serversOut = new prometheus.Gauge({
    name: "ebonypath_gateway_servers_out",
    help: "Ready servers that get no requests of this host, by reason",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });
  readonly removalNotices = new prometheus.Counter({
    name: "ebonypath_gateway_removal_notices_total",
    help: "Notices that a server will be gone earlier than was known",
    registers: [this.registry],
  });
  readonly removedRuns = new prometheus.Counter({
    name: "ebonypath_gateway_removed_runs_total",
    help: "Requests whose server was removed while it ran them",
    registers: [this.registry],
  });
  readonly serverCrashes = new prometheus.Counter({
    name: "ebonypath_gateway_server_crashes_total",
    help: "Requests under which a server's process ended",
    registers: [this.registry],
  });
  readonly quarantinedRequests = new prometheus.Gauge({
    name: "ebonypath_gateway_quarantined_requests",
    help: "Requests in quarantine, as this host knows",
    registers: [this.registry],
  });
  readonly leaderAge = new prometheus.Gauge({
    name: "ebonypath_gateway_leader_age_seconds",
    help: "Time since the leader's last answer",
    registers: [this.registry],
  });
  readonly configurationAge = new prometheus.Gauge({
    name: "ebonypath_gateway_configuration_age_seconds",
    help: "Time since the configuration was known to be in force",
    registers: [this.registry],
  });
  readonly confirmations = new prometheus.Counter({
    name: "ebonypath_gateway_confirmations_total",
    help: "Questions to the control hosts whether the state is current",
    labelNames: ["outcome"] as const,
    registers: [this.registry],
  });
  readonly unconfirmedAdmissions = new prometheus.Counter({
    name: "ebonypath_gateway_unconfirmed_admissions_total",
    help: "Requests admitted while too few control hosts could be reached to " +
      "confirm the configuration",
    registers: [this.registry],
  });
  readonly configurationVersion = new prometheus.Gauge({
    name: "ebonypath_gateway_configuration_version",
    help: "Version of the configuration in force here",
    registers: [this.registry],
  });
  readonly configurationLag = new prometheus.Histogram({
    name: "ebonypath_gateway_configuration_lag_seconds",
    help: "For how long the leader had a configuration when this host got it",
    buckets: ROLLOUT_BUCKETS,
    registers: [this.registry],
  });
  readonly rollout = new prometheus.Histogram({
    name: "ebonypath_gateway_configuration_rollout_seconds",
    help: "Time from the commit of a configuration until all hosts have it",
    buckets: ROLLOUT_BUCKETS,
    registers: [this.registry],
  });
  readonly hostsBehind = new prometheus.Gauge({
    name: "ebonypath_gateway_hosts_behind",
    help: "Entry hosts without the newest configuration, as the leader knows",
    registers: [this.registry],
  });
  readonly orders = new prometheus.Counter({
    name: "ebonypath_gateway_orders_total",
    help: "Orders to servers by kind and answer",
    labelNames: ["order", "answer"] as const,
    registers: [this.registry],
  });
  readonly unservedModels = new prometheus.Gauge({
    name: "ebonypath_gateway_unserved_models",
    help: "Models and adapters that are asked for and were not served for " +
      "long, at the leader, by what keeps them from a server",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });
  readonly unservedOldest = new prometheus.Gauge({
    name: "ebonypath_gateway_unserved_oldest_seconds",
    help: "Longest time for which one of them was not served",
    registers: [this.registry],
  });
  readonly dutyCalls = new prometheus.Counter({
    name: "ebonypath_gateway_duty_calls_total",
    help: "Calls to the party that duties are for, by duty and outcome",
    labelNames: ["duty", "outcome"] as const,
    registers: [this.registry],
  });
  readonly undeliveredWindows = new prometheus.Gauge({
    name: "ebonypath_gateway_undelivered_windows",
    help: "Closed windows whose usage has not been accepted, at the leader",
    registers: [this.registry],
  });
  readonly orderedServers = new prometheus.Gauge({
    name: "ebonypath_gateway_ordered_servers",
    help: "Servers last ordered by service and failure domain, at the leader",
    labelNames: ["service", "domain"] as const,
    registers: [this.registry],
  });
  readonly unusableScaling = new prometheus.Gauge({
    name: "ebonypath_gateway_unusable_scaling_services",
    help: "Services whose limits of scaling can't be used, at the leader",
    registers: [this.registry],
  });
  readonly clientFaults = new prometheus.Counter({
    name: "ebonypath_gateway_client_faults_total",
    help: "Clients' connections closed for what they held, by limit",
    labelNames: ["listener", "fault"] as const,
    registers: [this.registry],
  });
  readonly hostUse = new prometheus.Gauge({
    name: "ebonypath_gateway_host_use",
    help: "Fraction that this host uses of what it has, by resource",
    labelNames: ["resource"] as const,
    registers: [this.registry],
  });
  readonly handingOn = new prometheus.Gauge({
    name: "ebonypath_gateway_handing_on",
    help: "Whether this host is not ready because of its load",
    registers: [this.registry],
  });
  readonly admittedFraction = new prometheus.Gauge({
    name: "ebonypath_gateway_admitted_fraction",
    help: "Fraction of the requests that this host's load lets it admit",
    registers: [this.registry],
  });
  readonly loadRefusals = new prometheus.Counter({
    name: "ebonypath_gateway_load_refusals_total",
    help: "Requests refused for this host's load, by what it is short of",
    labelNames: ["resource"] as const,
    registers: [this.registry],
  });
  readonly leading = new prometheus.Gauge({
    name: "ebonypath_gateway_leading",
    help: "Whether this host leads",
    registers: [this.registry],
  });
  readonly commits = new prometheus.Counter({
    name: "ebonypath_gateway_commits_total",
    help: "Changes that this host has committed as the leader",
    registers: [this.registry],
  });
}
