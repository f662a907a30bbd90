/**
 * A host's copy of the fleet state: the view of the replicated state, the
 * backend servers and the control hosts.
 *
 * @module
 */
import * as events from "node:events";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as freshness from "./freshness.ts";

/** Thrown when a snapshot is older than the view that the host has applied. */
export class FeedRegressionError extends protocol.errors.StepError {
  override readonly name = "FeedReversion";
}

interface FleetStateEvents {
  /** A feed event changed the state. */
  change: [];
  /** The leader asks the host for an exchange. */
  exchangeWanted: [];
}

/** Copy of the fleet state on one host, updated by the feed of the leader. */
export class FleetState extends events.EventEmitter<FleetStateEvents> {
  readonly view = new core.state.FleetViewCache();
  readonly #freshness = new freshness.FreshnessTracker();
  #servers = new Map<string, protocol.control.ServerStatus>();
  #controlHosts: protocol.control.ControlHost[] = [];
  #index = -1;
  #term = 0;

  /** Log index of the last applied change; -1 before the first. */
  get index(): number {
    return this.#index;
  }

  /** Term of the leader that sent the latest snapshot. */
  get term(): number {
    return this.#term;
  }

  /** Backend servers by id. */
  get servers(): ReadonlyMap<string, protocol.control.ServerStatus> {
    return this.#servers;
  }

  /** Control hosts that the leader named last. */
  get controlHosts(): readonly protocol.control.ControlHost[] {
    return this.#controlHosts;
  }

  /**
   * Whether the view is recent enough to start new work.
   *
   * @param now monotonic time, in milliseconds
   */
  isCurrent(now: number): boolean {
    return this.#freshness.isCurrent(now);
  }

  /** Time since the view was last known to be current, in milliseconds. */
  ageMs(now: number): number {
    return this.#freshness.ageMs(now);
  }

  /** Records the leader's answer to an exchange that was sent at `sentAt`. */
  confirm(sentAt: number, viewIndex: number): void {
    this.#freshness.confirm(sentAt, viewIndex, this.#index);
  }

  /**
   * Applies one event of the feed.
   *
   * @throws {FeedRegressionError} a snapshot is older than the current view
   */
  apply(event: protocol.control.FeedEvent): void {
    switch (event.kind) {
      case "snapshot":
        this.#replaceView(event.view);
        this.#term = event.term;
        this.#replaceServers(event.servers);
        this.#controlHosts = event.controlHosts;
        break;
      case "changes":
        this.#applyChanges(event.index, event.changes);
        break;
      case "all-servers":
        this.#replaceServers(event.servers);
        break;
      case "servers":
        for (const server of event.changed) {
          this.#servers.set(server.id, server);
        }
        for (const id of event.removed) this.#servers.delete(id);
        break;
      case "control-hosts":
        this.#controlHosts = event.controlHosts;
        break;
      case "exchange-wanted":
        this.emit("exchangeWanted");
        return;
      default:
        protocol.errors.assertNever(event);
    }
    this.#freshness.applied(this.#index);
    this.emit("change");
  }

  #replaceView(view: protocol.state.FleetView): void {
    if (!this.view.reset(view)) {
      throw new FeedRegressionError(
        "feed.snapshot",
        "leader",
        `index ${view.index} is before ${this.#index}`,
      );
    }
    this.#index = view.index;
  }

  #applyChanges(
    index: number,
    changes: readonly protocol.state.ViewChange[],
  ): void {
    if (this.view.apply(index, changes)) this.#index = index;
  }

  #replaceServers(
    servers: readonly protocol.control.ServerStatus[],
  ): void {
    this.#servers = new Map(servers.map((server) => [server.id, server]));
  }
}
