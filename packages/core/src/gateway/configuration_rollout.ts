/** A host that has not confirmed the newest version. */
export type HostBehind = {
  readonly host: string;
  /** Time for which the leader has known that, in milliseconds. */
  readonly behindMs: number;
};

/** A version that all known hosts have confirmed. */
export type CompletedRollout = {
  readonly version: number;
  readonly hostCount: number;
  /** Time from when the leader had it until the last host did, in ms. */
  readonly durationMs: number;
};

/** A version, and the monotonic time since when it is known, in ms. */
type KnownVersion = { readonly version: number; readonly since: number };

/**
 * Tracks which hosts have which version of the configuration, from the version
 * that each host names in its requests to the leader.
 *
 * @example
 * ```ts
 * rollout.begin(7, now);
 * const completed = rollout.recordHost("entry-1", 7, now);
 * ```
 */
export class ConfigurationRollout {
  readonly #hosts = new Map<string, KnownVersion>();
  /** Versions that not all hosts have, in ascending order. */
  #pending: KnownVersion[] = [];
  #newest: KnownVersion = { version: -1, since: 0 };

  /** Starts the rollout of a version; does nothing for one that has begun. */
  begin(version: number, now: number): void {
    if (version <= this.#newest.version) return;
    this.#newest = { version, since: now };
    this.#pending.push(this.#newest);
  }

  /**
   * Records the version of a host.
   *
   * @param version `null` if the host has none
   * @returns the newest version whose rollout is completed by it, if any
   */
  recordHost(
    host: string,
    version: number | null,
    now: number,
  ): CompletedRollout | undefined {
    const current = version ?? -1;
    if (this.#hosts.get(host)?.version === current) return undefined;
    this.#hosts.set(host, { version: current, since: now });
    return this.#complete(now);
  }

  /** Time since the rollout of the newest version began, in milliseconds. */
  ageMs(now: number): number {
    return now - this.#newest.since;
  }

  /** Removes a host that is gone. */
  removeHost(host: string): void {
    this.#hosts.delete(host);
  }

  /** Hosts that have not confirmed the newest version. */
  hostsBehind(now: number): HostBehind[] {
    const { since, version } = this.#newest;
    return [...this.#hosts]
      .filter(([, known]) => known.version < version)
      .map(([host, known]) => ({
        host,
        behindMs: now - Math.max(since, known.since),
      }));
  }

  #complete(now: number): CompletedRollout | undefined {
    const versions = [...this.#hosts.values()].map(({ version }) => version);
    const lowest = Math.min(...versions);
    const last = this.#pending.findLast(({ version }) => version <= lowest);
    if (last === undefined) return undefined;
    this.#pending = this.#pending.filter(({ version }) => version > lowest);
    return {
      version: last.version,
      hostCount: this.#hosts.size,
      durationMs: now - last.since,
    };
  }
}
