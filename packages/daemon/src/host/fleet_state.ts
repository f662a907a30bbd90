/**
 * What an entry host knows of the fleet: the view of the replicated state and
 * the backend servers.
 *
 * @module
 */
import * as events from "node:events";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as freshness from "./freshness.ts";

/** Raised when a feed would take the view back to an earlier state. */
export class FeedRegressionError extends protocol.errors.StepError {
  override readonly name = "FeedReversion";
}

interface FleetStateEvents {
  /** An event was applied. */
  change: [];
  /** The leader has news for the next exchange. */
  exchangeWanted: [];
}

/** The host's copy of the shared state, fed by the leader. */
export class FleetState extends events.EventEmitter<FleetStateEvents> {
  readonly view = new core.state.FleetViewCache();
  readonly #freshness = new freshness.FreshnessTracker();
  #servers = new Map<string, protocol.control.ServerStatus>();
  #controlHosts: protocol.control.ControlHost[] = [];
  #index = -1;
  #term = 0;

  /** Log index up to which changes are applied; -1 before the first. */
  get index(): number {
    return this.#index;
  }

  /** Term of the leader that sent the latest snapshot. */
  get term(): number {
    return this.#term;
  }

  /** The backend servers by id. */
  get servers(): ReadonlyMap<string, protocol.control.ServerStatus> {
    return this.#servers;
  }

  /** The control hosts that the leader named last. */
  get controlHosts(): readonly protocol.control.ControlHost[] {
    return this.#controlHosts;
  }

  /** Whether new work may start; `now` is monotonic, in milliseconds. */
  isCurrent(now: number): boolean {
    return this.#freshness.isCurrent(now);
  }

  /** Time since the view was known to be current, in milliseconds. */
  ageMs(now: number): number {
    return this.#freshness.ageMs(now);
  }

  /** Takes the leader's answer to an exchange. */
  confirm(sentAt: number, viewIndex: number): void {
    this.#freshness.confirm(sentAt, viewIndex, this.#index);
  }

  /** Applies one event of the feed. */
  apply(event: protocol.control.FeedEvent): void {
    switch (event.kind) {
      case "snapshot":
        this.#replace(event.view);
        this.#term = event.term;
        this.#replaceServers(event.servers);
        this.#controlHosts = event.controlHosts;
        break;
      case "changes":
        this.#change(event.index, event.changes);
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

  #replace(view: protocol.state.FleetView): void {
    if (!this.view.reset(view)) {
      throw new FeedRegressionError(
        "feed.snapshot",
        "leader",
        `index ${view.index} is before ${this.#index}`,
      );
    }
    this.#index = view.index;
  }

  #change(
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
