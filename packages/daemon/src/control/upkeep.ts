import type * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import * as hostRegistry from "./host_registry.ts";
import type * as replicatedState from "./replicated_state.ts";

const write = log.createLog("upkeep");

/** Time between two proposals that let log time pass, in milliseconds. */
const ADVANCE_INTERVAL_MS = 1_000;

/** What upkeep needs of the leadership. */
export interface UpkeepOptions {
  readonly replicated: replicatedState.ReplicatedState;
  readonly hosts: hostRegistry.HostRegistry;
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
  /** When the leadership began; monotonic, in milliseconds. */
  readonly startedAt: number;
}

/**
 * Ends what nobody else ends: the claims and the deferred work of lost hosts,
 * and whatever has expired.
 */
export class Upkeep {
  readonly #options: UpkeepOptions;
  #advancedAt = 0;
  #isProposing = false;

  constructor(options: UpkeepOptions) {
    this.#options = options;
  }

  /** Proposes what is due. */
  run(now: number): void {
    if (this.#isProposing) return;
    const lost = this.#lostOwner(now);
    if (lost !== undefined) {
      write("host-lost", {
        host: lost.host,
        incarnation: lost.hostIncarnation,
      });
      void this.#propose({ kind: "lose-host", ...lost });
      return;
    }
    if (now - this.#advancedAt < ADVANCE_INTERVAL_MS) return;
    if (!this.#options.replicated.state.isExpiryDue(Date.now())) return;
    this.#advancedAt = now;
    void this.#propose({ kind: "advance-time" });
  }

  /** A host that owns something and has not been heard for long. */
  #lostOwner(
    now: number,
  ): { host: string; hostIncarnation: string } | undefined {
    const { hosts, replicated, startedAt } = this.#options;
    // Hosts need time to find a new leader before they count as lost.
    if (now - startedAt < hostRegistry.HOST_LOST_MS) return undefined;
    return replicated.state.owners().find((owner) =>
      !hosts.isLive(owner.host, owner.hostIncarnation, now)
    );
  }

  async #propose(command: protocol.state.Command): Promise<void> {
    this.#isProposing = true;
    try {
      await this.#options.propose(command);
    } catch (error) {
      write("not-committed", {
        command: command.kind,
        error,
      });
    } finally {
      this.#isProposing = false;
    }
  }
}
