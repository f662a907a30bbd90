import type { gateway } from "@ebonypath/protocol";

/** A counter with the revision of the book at its last change. */
type Counter = {
  readonly tokens: number;
  readonly revision: number;
};

/** Counters that have changed, by the host that reported them. */
type HostUsage = gateway.ReportResponse["usage"][number];

/**
 * What hosts have used of the rates of workspaces, as the leader knows it. Each
 * host hears of what has changed since it was answered last: most counters stay
 * the same from one report to the next.
 *
 * @example
 * ```ts
 * book.take("entry-1", [{ workspace: "shop", tokens: 1_600 }]);
 * const news = book.since(revisionOfLastAnswer);
 * ```
 */
export class UsageTracker {
  readonly #hosts = new Map<string, Map<string, Counter>>();
  #revision = 0;

  /** Grows with each change of a counter. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes the counters of a host. */
  recordUsage(host: string, usage: readonly gateway.WorkspaceUsage[]): void {
    const known = this.#hosts.get(host) ?? new Map<string, Counter>();
    this.#hosts.set(host, known);
    for (const { tokens, workspace } of usage) {
      if (known.get(workspace)?.tokens === tokens) continue;
      this.#revision += 1;
      known.set(workspace, { tokens, revision: this.#revision });
    }
  }

  /** Forgets hosts that are not heard any more. */
  retainHosts(hosts: ReadonlySet<string>): void {
    for (const host of this.#hosts.keys()) {
      if (!hosts.has(host)) this.#hosts.delete(host);
    }
  }

  /** Counters that have changed after a revision; 0 lists all. */
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
