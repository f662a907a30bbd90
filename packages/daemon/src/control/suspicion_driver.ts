/**
 * Quarantines requests that crash backend servers.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import type * as replicatedState from "./replicated_state.ts";

const write = log.createLog("suspicion");

/** What the search for such requests needs of the leadership. */
export interface SuspicionDriverOptions {
  readonly replicated: replicatedState.ReplicatedState;
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** Drives {@link core.suspicion.SuspectTracker} for one leadership. */
export class SuspicionDriver implements Disposable {
  readonly #options: SuspicionDriverOptions;
  readonly #ledger = new core.suspicion.SuspectTracker();
  readonly #proposed = new Set<string>();

  constructor(options: SuspicionDriverOptions) {
    this.#options = options;
    options.replicated.on("changes", this.#onChanges);
  }

  /** Takes a host's reports and answers with what it must know. */
  exchange(
    host: string,
    reports: readonly protocol.suspicion.SuspicionReport[],
    now: number,
  ): protocol.suspicion.WatchedFingerprint[] {
    return this.#ledger.exchange(host, reports, now);
  }

  /** Proposes the quarantines that are due. */
  run(now: number): void {
    for (const request of this.#ledger.crashingRequests(now)) {
      if (this.#proposed.has(request.fingerprint)) continue;
      this.#proposed.add(request.fingerprint);
      void this.#quarantine(request);
    }
  }

  [Symbol.dispose](): void {
    this.#options.replicated.off("changes", this.#onChanges);
  }

  /** Quarantined and released requests are watched no longer. */
  readonly #onChanges = (
    _index: number,
    changes: readonly protocol.state.ViewChange[],
  ): void => {
    for (const change of changes) {
      if (change.kind === "quarantined") {
        this.#ledger.forget(change.quarantine.fingerprint);
      }
      if (change.kind === "quarantine-ended") {
        this.#ledger.forget(change.fingerprint);
      }
    }
  };

  async #quarantine(request: core.suspicion.CrashingRequest): Promise<void> {
    write("quarantined", {
      fingerprint: request.fingerprint,
      workspace: request.workspace,
      model: request.model,
    });
    try {
      await this.#options.propose({
        kind: "quarantine",
        ...request,
        durationMs: core.suspicion.QUARANTINE_MS,
      });
    } catch (error) {
      write("not-committed", { error });
    } finally {
      this.#proposed.delete(request.fingerprint);
    }
  }
}
