/**
 * Quarantines requests that crash backend servers.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";

const write = log.createLog("suspicion");

/** What the search for such requests needs of the leadership. */
export interface SuspicionDriverOptions {
  readonly counts?: core.suspicion.CrashCounts;
  readonly fleet?: core.suspicion.FleetState;
  /** Commits a quarantine to the replicated state. */
  quarantine(request: core.suspicion.CrashingRequest): Promise<unknown>;
}

/** Drives {@link core.suspicion.SuspectTracker} for one leadership. */
export class SuspicionDriver {
  readonly #options: SuspicionDriverOptions;
  readonly #tracker: core.suspicion.SuspectTracker;
  readonly #proposed = new Set<string>();

  constructor(options: SuspicionDriverOptions) {
    this.#options = options;
    this.#tracker = new core.suspicion.SuspectTracker(
      options.counts,
      options.fleet,
    );
  }

  /** Increases when what hosts have to know of suspects changes. */
  get revision(): number {
    return this.#tracker.revision;
  }

  /** Whether the isolation of any suspect may begin or end. */
  get hasWatchedSuspects(): boolean {
    return this.#tracker.hasWatchedSuspects;
  }

  /** Takes a host's reports and answers with what it must know. */
  exchange(
    host: string,
    reports: readonly protocol.suspicion.SuspicionReport[],
    now: number,
  ): protocol.suspicion.WatchedFingerprint[] {
    return this.#tracker.exchange(host, reports, now);
  }

  /** Proposes the quarantines that are due. */
  run(now: number): void {
    for (const request of this.#tracker.crashingRequests(now)) {
      if (this.#proposed.has(request.fingerprint)) continue;
      this.#proposed.add(request.fingerprint);
      void this.#quarantine(request);
    }
  }

  /** Stops watching a request that is quarantined or released. */
  forget(fingerprint: string): void {
    this.#tracker.forget(fingerprint);
  }

  async #quarantine(request: core.suspicion.CrashingRequest): Promise<void> {
    const { attribute, fingerprint, model, workspace } = request;
    write("quarantined", {
      fingerprint,
      workspace,
      model,
      kind: attribute?.kind ?? "request",
      name: attribute?.name,
    });
    try {
      await this.#options.quarantine(request);
    } catch (error) {
      write("not-committed", { fingerprint, error });
    } finally {
      this.#proposed.delete(fingerprint);
    }
  }
}
