/**
 * Carries out the leader's placement: proposes its decisions and sends its
 * orders.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as backend from "../backend/mod.ts";
import * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as hostRegistry from "./host_registry.ts";
import type * as replicatedState from "./replicated_state.ts";

const write = log.createLog("placement");

/**
 * Time within which the hosts that live have found a new leader, in
 * milliseconds: before, a host that has not reported may run requests.
 */
const HOSTS_FOUND_MS = 3_000;

/** What placement needs of the leadership. */
export interface PlacementDriverOptions {
  readonly replicated: replicatedState.ReplicatedState;
  readonly metrics: metrics.Metrics;
  readonly hosts: Pick<hostRegistry.HostRegistry, "lingeringOn">;
  hasLease(): boolean;
  /** A proposal or an order has ended: there is something new to plan. */
  onProgress(): void;
  /** An unload waits for the reports of hosts. */
  onReportsWanted(): void;
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** Drives {@link core.placement.Placement} for one term of leadership. */
export class PlacementDriver implements Disposable {
  readonly placement: core.placement.Placement;
  readonly #options: PlacementDriverOptions;
  readonly #startedAt: number;
  readonly #stop = new AbortController();

  constructor(options: PlacementDriverOptions, now: number) {
    const { state, appliedIndex } = options.replicated;
    this.#options = options;
    this.#startedAt = now;
    this.placement = new core.placement.Placement({
      sinceMs: now,
      earlierOrdersEndMs: earliestOrder(state, now),
      lastInheritedIndex: appliedIndex,
    });
  }

  /** Plans once and carries out what is new. */
  run(now: number): void {
    const { state } = this.#options.replicated;
    const replicas = state.replicas();
    this.#options.metrics.replicas.set(replicas.length);
    const actions = this.placement.plan({
      nowMs: now,
      catalogue: state.catalogue(),
      replicas,
      withdrawnFailureDomains: new Set(state.withdrawnFailureDomains()),
      runningRequestsOn: (replica, sinceMs) =>
        this.#runningOn(replica, sinceMs, now),
    });
    for (const action of actions) this.#carryOut(action);
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  #runningOn(
    replica: hostRegistry.Unloading,
    sinceMs: number,
    now: number,
  ): number | undefined {
    const { hosts, onReportsWanted } = this.#options;
    if (now < this.#startedAt + HOSTS_FOUND_MS) return undefined;
    const running = hosts.lingeringOn(replica, sinceMs, now);
    if (running === undefined) onReportsWanted();
    return running;
  }

  #carryOut(action: core.placement.Action): void {
    switch (action.kind) {
      case "order":
        void this.#order(action);
        return;
      case "decide":
      case "adopt":
      case "unload":
      case "forget":
        void this.#propose(action);
        return;
      default:
        protocol.errors.assertNever(action);
    }
  }

  async #propose(proposal: core.placement.Proposal): Promise<void> {
    try {
      const command = core.placement.commandOf(proposal);
      const result = await this.#options.propose(command);
      write(proposal.kind, { ...fieldsOf(proposal), result: result.kind });
      this.placement.settleProposal(proposal);
      this.#options.onProgress();
    } catch (error) {
      write("not-committed", {
        proposal: proposal.kind,
        error,
      });
      // An unknown outcome keeps counting against memory until this
      // leadership ends, which a failed proposal is a sign of.
      if (error instanceof fleet.NotLeader) {
        this.placement.settleProposal(proposal);
      }
    }
  }

  async #order(action: core.placement.OrderAction): Promise<void> {
    if (!this.#options.hasLease()) return;
    const { order, server } = action;
    const sentAt = performance.now();
    const outcome = await backend.sendOrder(
      { id: server, address: action.address },
      order,
      this.#stop.signal,
    );
    const now = performance.now();
    this.#options.metrics.orders.inc({
      kind: order.kind,
      result: outcome.kind,
    });
    write("order", {
      server,
      order: order.kind,
      model: order.model,
      fence: order.fence,
      result: outcome.kind,
      reason: outcome.kind === "refused" ? outcome.reason : undefined,
      took: Math.round(now - sentAt),
    });
    this.placement.recordOrderAnswer(action, resultOf(outcome), now);
    this.#options.onProgress();
  }
}

/** Orders exist for committed decisions only: without one, none is open. */
function earliestOrder(state: core.state.State, now: number): number {
  if (state.replicas().length === 0) return now;
  return now + core.placement.MAX_ORDER_EXECUTION_MS +
    core.placement.MAX_ORDER_DELIVERY_MS;
}

/** What the server said, or undefined where the order may take effect. */
function resultOf(
  outcome: backend.OrderOutcome,
): protocol.backend.OrderResult | undefined {
  switch (outcome.kind) {
    case "done":
      return { kind: "done" };
    case "unknown":
      return undefined;
    case "refused":
      return {
        kind: "refused",
        reason: outcome.reason === "not-sent" ? "failed" : outcome.reason,
      };
    default:
      return protocol.errors.assertNever(outcome);
  }
}

function fieldsOf(proposal: core.placement.Proposal): log.Fields {
  switch (proposal.kind) {
    case "decide":
    case "adopt":
      return {
        server: proposal.server,
        model: proposal.model,
        version: proposal.version,
      };
    case "unload":
    case "forget":
      return { replica: proposal.replica, reason: proposal.reason };
    default:
      return protocol.errors.assertNever(proposal);
  }
}
