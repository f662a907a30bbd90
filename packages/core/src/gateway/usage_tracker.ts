import type { gateway } from "@ebonypath/protocol";

/** A token counter, with the tracker's revision at its last change. */
type Counter = {
  readonly tokens: number;
  readonly revision: number;
};

/** Changed counters of one host. */
type HostUsage = gateway.ReportResponse["usage"][number];

/**
 * Tracks on the leader how many tokens each workspace has used at each host.
 * Every host is sent only the counters that have changed since its last answer,
 * because most stay the same between two reports.
 *
 * @example
 * ```ts
 * tracker.recordUsage("entry-1", [{ workspace: "shop", tokens: 1_600 }]);
 * const changes = tracker.changesSince(revisionOfLastAnswer);
 * ```
 */
export class UsageTracker {
  readonly #hosts = new Map<string, Map<string, Counter>>();
  #revision = 0;

  /** Increases with each change of a counter. */
  get revision(): number {
    return this.#revision;
  }

  /** Updates the counters of a host. */
  recordUsage(host: string, usage: readonly gateway.WorkspaceUsage[]): void {
    const counters = this.#hosts.get(host) ?? new Map<string, Counter>();
    this.#hosts.set(host, counters);
    for (const { tokens, workspace } of usage) {
      if (counters.get(workspace)?.tokens === tokens) continue;
      this.#revision += 1;
      counters.set(workspace, { tokens, revision: this.#revision });
    }
  }

  /** Removes all hosts but these. */
  retainHosts(hosts: ReadonlySet<string>): void {
    for (const host of this.#hosts.keys()) {
      if (!hosts.has(host)) this.#hosts.delete(host);
    }
  }

  /** Counters that have changed after a revision; 0 returns all. */
  changesSince(revision: number): HostUsage[] {
    return [...this.#hosts]
      .map(([host, counters]) => ({
        host,
        usage: [...counters]
          .filter(([, counter]) => counter.revision > revision)
          .map(([workspace, { tokens }]) => ({ workspace, tokens })),
      }))
      .filter(({ usage }) => usage.length > 0);
  }
}
