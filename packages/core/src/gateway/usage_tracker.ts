import type { gateway } from "@ebonypath/protocol";
import * as suspicion from "../suspicion/mod.ts";

/**
 * Host starts whose counters are kept. The target is a fleet of 1,100 hosts,
 * and every restart of a host adds one.
 */
const MAX_HOSTS = 4_096;

/** Tokens that all hosts have used since the leader's term began. */
type Total = { tokens: number; revision: number };

/** Counter of one host, as it was last reported. */
type HostCounter = {
  /** The host's own counter. */
  reported: number;
  /** Part of the total that this host has contributed. */
  contributed: number;
};

/**
 * Sums on the leader how many tokens each workspace has used at all hosts. A
 * host is told what the others have used together, so an answer doesn't grow
 * with the number of hosts.
 *
 * A host reports its own counter and its value at the last answer of any
 * leader. A new leader counts only what was used since, because earlier usage
 * has been told to the other hosts by its predecessor.
 *
 * @example
 * ```ts
 * tracker.recordUsage("entry-1", [
 *   { workspace: "shop", tokens: 1_600, acknowledged: 0 },
 * ]);
 * tracker.othersUsage("entry-2", 0); // [{ workspace: "shop", tokens: 1_600 }]
 * ```
 */
export class UsageTracker {
  readonly #totals = new Map<string, Total>();
  readonly #hosts = new Map<string, Map<string, HostCounter>>();
  #revision = 0;

  /** Increases with each change of a total. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Updates the counters of a host.
   *
   * @param onUse called with the tokens used since the previous report
   */
  recordUsage(
    host: string,
    usage: readonly gateway.ReportedUsage[],
    onUse: (workspace: string, tokens: number) => void = () => {},
  ): void {
    const counters = this.#countersOf(host);
    for (const { acknowledged, tokens, workspace } of usage) {
      const counter = counters.get(workspace) ??
        { reported: acknowledged, contributed: 0 };
      counters.set(workspace, counter);
      const used = tokens - counter.reported;
      if (used === 0) continue;
      counter.reported = tokens;
      counter.contributed += used;
      this.#add(workspace, used);
      onUse(workspace, used);
    }
  }

  /**
   * Tokens that all other hosts have used since the term began, of workspaces
   * whose total has changed after a revision; 0 returns all.
   */
  othersUsage(host: string, revision: number): gateway.WorkspaceUsage[] {
    const counters = this.#hosts.get(host);
    return [...this.#totals]
      .filter(([, total]) => total.revision > revision)
      .map(([workspace, { tokens }]) => ({
        workspace,
        tokens: tokens - (counters?.get(workspace)?.contributed ?? 0),
      }));
  }

  #add(workspace: string, tokens: number): void {
    const total = this.#totals.get(workspace) ?? { tokens: 0, revision: 0 };
    this.#totals.set(workspace, total);
    this.#revision += 1;
    total.tokens += tokens;
    total.revision = this.#revision;
  }

  /**
   * Counters of a host, marked as the most recently used. They are kept while
   * the host is silent; otherwise its own usage would count as that of others
   * when it reports again.
   */
  #countersOf(host: string): Map<string, HostCounter> {
    const counters = this.#hosts.get(host) ?? new Map<string, HostCounter>();
    suspicion.setNewest(this.#hosts, host, counters, MAX_HOSTS);
    return counters;
  }
}
