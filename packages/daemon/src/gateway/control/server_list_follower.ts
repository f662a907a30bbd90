/**
 * Keeps a copy of the leader's list of servers, and of where streams began, at
 * the other control hosts.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as core from "@ebonypath/core";
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../../fleet/mod.ts";
import * as log from "../../log/mod.ts";
import * as fleetView from "../entry/fleet_view.ts";
import * as serverRecords from "../server_records.ts";

const write = log.createLog("copy");

/** Time limits of a watch call; the leader holds it open for up to 1 s. */
const WATCH_LIMITS = { attemptMs: 1_600, totalMs: 3_200, retryable: true };
/** Delay after a failed call, and between checks of a leader, in ms. */
const RETRY_MS = 200;

const WatchResponse = serverRecords.withSoundServers(gateway.WatchResponse);

/** Dependencies of a {@link ServerListFollower}. */
export interface ServerListFollowerOptions {
  /** Name of this control host. */
  readonly host: string;
  /** Whether this host leads, and follows nobody. */
  isLeading(): boolean;
  /** Version of the configuration that this host has by the replicated log. */
  configurationVersion(): number | null;
  /** Where streams began; what the leader tells is added. */
  readonly streamOrigins: core.gateway.StreamOrigins;
  /** Calls the leader. */
  call: fleet.LeaderClient["call"];
}

/**
 * Follows the leader like an entry host, so that this host knows its servers
 * when it leads itself. Otherwise all entry hosts would have to tell them, in the
 * seconds in which it has the most to do. Where streams began that were relayed
 * by a lost host, no entry host can tell at all.
 */
export class ServerListFollower implements Disposable {
  readonly #options: ServerListFollowerOptions;
  readonly #view = new fleetView.FleetView();
  readonly #disposed = new AbortController();
  /** Revision of the streams that the leader has told of. */
  #streamRevision = 0;
  #isFollowing = false;

  constructor(options: ServerListFollowerOptions) {
    this.#options = options;
  }

  /** The copy; undefined if this host has followed no leader yet. */
  copy(): core.gateway.ServerListCopy | undefined {
    return this.#view.term === 0
      ? undefined
      : this.#view.copyServers(performance.now());
  }

  start(): void {
    void this.#run();
  }

  [Symbol.dispose](): void {
    this.#disposed.abort();
  }

  async #run(): Promise<void> {
    const { signal } = this.#disposed;
    while (!signal.aborted) {
      if (!this.#options.isLeading() && await this.#follow()) continue;
      // The timer rejects on disposal, which ends the loop.
      await timers.setTimeout(RETRY_MS, undefined, { signal })
        .catch(() => undefined);
    }
  }

  /** Returns whether the leader has answered. */
  async #follow(): Promise<boolean> {
    const { call, configurationVersion, host } = this.#options;
    const view = this.#view;
    try {
      const response = await call(gateway.METHODS.watch, () => ({
        host,
        isCopy: true,
        term: view.term,
        revision: view.revision,
        configuration: newerVersion(
          configurationVersion(),
          view.configuration?.version ?? null,
        ),
        quarantineRevision: view.quarantineRevision,
        suspectRevision: view.suspectRevision,
        streamRevision: this.#streamRevision,
      }), WATCH_LIMITS);
      this.#apply(v.parse(WatchResponse, response));
      if (!this.#isFollowing) write("following", { term: view.term });
      this.#isFollowing = true;
      return true;
    } catch (error) {
      if (this.#isFollowing) write("not-following", { error });
      this.#isFollowing = false;
      return false;
    }
  }

  #apply(response: gateway.WatchResponse): void {
    const { streamOrigins } = this.#options;
    const now = performance.now();
    if (!this.#view.apply(response, now)) return;
    // A leader of an earlier build tells of no streams.
    if (response.streams === undefined) return;
    streamOrigins.apply(response.streams, now);
    this.#streamRevision = response.streams.revision;
  }
}

/** The replicated log may bring a version before the leader's answer does. */
function newerVersion(
  one: number | null,
  other: number | null,
): number | null {
  return one === null || (other !== null && other > one) ? other : one;
}
