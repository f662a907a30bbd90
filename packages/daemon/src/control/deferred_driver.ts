/**
 * Hands deferred requests to hosts for execution.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import type * as hostRegistry from "./host_registry.ts";
import type * as serverTable from "./server_table.ts";

const write = log.createLog("deferred");

/** Expected duration of one request, in milliseconds. */
const REQUEST_MS = 5_000;
/** Capacity of a target of which nothing is known yet. */
const NO_CAPACITY = { loaded: false, spare: 0, concurrency: 1, loadMs: 0 };
/** Assignments in one exchange: it must stay small. */
const ASSIGNMENTS_PER_EXCHANGE = 8;

/** What the planning of deferred requests needs of the leadership. */
export interface DeferredDriverOptions {
  readonly replicated: {
    readonly appliedIndex: number;
    readonly state: Pick<
      core.state.StateMachine,
      "assignedDeferred" | "waitingDeferred"
    >;
  };
  readonly placement: Pick<
    core.placement.Placement,
    "capacity" | "demandOf" | "setDeferredDemand"
  >;
  readonly servers: Pick<serverTable.ServerTable, "statuses">;
  readonly hosts: Pick<hostRegistry.HostRegistry, "live">;
  /** Index of the last entry of the log, committed or not. */
  lastIndex(): number;
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** Requests of a host to run, and those to end. */
type Handed = Pick<
  protocol.control.ExchangeResponse,
  "assignments" | "cancellations"
>;

/** Drives the planner of deferred requests for one term of leadership. */
export class DeferredDriver {
  readonly #options: DeferredDriverOptions;
  /** Assignments that are being committed. */
  #proposed: readonly core.deferred.Assignment[] = [];
  /** Assignments of unknown outcome are settled once this index is applied. */
  #uncertainTo = 0;

  constructor(options: DeferredDriverOptions) {
    this.#options = options;
  }

  /** Plans once; assignments are committed before hosts hear of them. */
  run(now: number): void {
    const { hosts, placement, replicated } = this.#options;
    if (this.#proposed.length > 0) return;
    const { state } = replicated;
    const waiting = state.waitingDeferred();
    if (waiting.length === 0) {
      placement.setDeferredDemand([]);
      return;
    }
    const plan = core.deferred.plan({
      nowMs: now,
      timeMs: Date.now(),
      waiting,
      assigned: state.assignedDeferred(),
      hosts: hosts.live(now)
        .filter((host) =>
          host.current && !host.draining && host.deferredCapacity > 0
        )
        .map(toPlannedHost),
      capacityOf: (target) => this.#capacityOf(target, now),
    });
    placement.setDeferredDemand(plan.demands);
    void this.#assign(plan.assignments);
  }

  /** What the exchange of a host tells it of the requests handed to it. */
  handedTo({ name, incarnation }: protocol.control.HostIdentity): Handed {
    const owner = { host: name, hostIncarnation: incarnation };
    const held = this.#options.replicated.state.assignedDeferred(owner);
    return {
      assignments: held.filter((item) => !item.cancelled)
        .slice(0, ASSIGNMENTS_PER_EXCHANGE)
        .map((item) => ({
          id: item.id,
          assignment: item.phase.assignment.index,
          request: item.phase.request,
          remainingMs: item.deadlineMs - Date.now(),
        })),
      cancellations: held.filter((item) => item.cancelled)
        .map(({ id, phase }) => ({ id, assignment: phase.assignment.index })),
    };
  }

  /** Whether assignments to a host are being committed, or may be. */
  isAssigningTo(
    { name, incarnation }: protocol.control.HostIdentity,
  ): boolean {
    if (this.#options.replicated.appliedIndex < this.#uncertainTo) return true;
    return this.#proposed.some((one) =>
      one.host === name && one.hostIncarnation === incarnation
    );
  }

  async #assign(
    assignments: readonly core.deferred.Assignment[],
  ): Promise<void> {
    if (assignments.length === 0) return;
    this.#proposed = assignments;
    try {
      await Promise.all(assignments.map((assignment) =>
        this.#options.propose({
          kind: "assign-deferred",
          ids: [...assignment.ids],
          host: assignment.host,
          hostIncarnation: assignment.hostIncarnation,
        })
      ));
    } catch (error) {
      this.#uncertainTo = this.#options.lastIndex();
      write("not-assigned", { error, uncertainTo: this.#uncertainTo });
    } finally {
      this.#proposed = [];
    }
  }

  /** What placement expects, within what servers bear while they warm up. */
  #capacityOf(target: string, now: number): core.deferred.TargetCapacity {
    const { placement } = this.#options;
    const known = placement.capacity(target) ?? NO_CAPACITY;
    const demand = placement.demandOf(target, now);
    const limit = this.#options.servers.statuses()
      .filter((server) =>
        server.usable && protocol.control.serves(server, target)
      )
      .reduce((sum, server) => sum + server.limit, 0);
    const busy = (demand?.running ?? 0) + (demand?.waiting ?? 0);
    const spare = Math.max(0, Math.min(known.spare, limit - busy));
    return { ...known, spare, requestMs: REQUEST_MS };
  }
}

function toPlannedHost(host: hostRegistry.Host): core.deferred.DeferredHost {
  return {
    host: host.identity.name,
    hostIncarnation: host.identity.incarnation,
    load: host.demand.reduce(
      (sum, row) => sum + row.waiting + row.running,
      0,
    ),
  };
}
