import type { gateway } from "@ebonypath/protocol";

/**
 * Time for which a version counts after its last server was heard, in
 * milliseconds: longer than any caller waits for a stream.
 */
const RETENTION_MS = 600_000;

/**
 * Remembers which versions of its software the servers of each service have run
 * lately. While there was only one, each stream began at it.
 *
 * @example
 * ```ts
 * versions.record("advice", "v2", now);
 * versions.of("advice", now); // Set { "v1", "v2" }
 * ```
 */
export class SoftwareVersions {
  /** Time at which each version was last heard, by service and version. */
  readonly #heardAt = new Map<string, Map<string, number>>();

  /** Records what another host knows. */
  merge(versions: readonly gateway.ServedVersion[], now: number): void {
    for (const { service, silentMs, softwareVersion } of versions) {
      this.record(service, softwareVersion, now - silentMs);
    }
  }

  /** All versions that have served lately, for a new leader. */
  all(now: number): gateway.ServedVersion[] {
    return [...this.#heardAt].flatMap(([service, versions]) =>
      [...versions].map(([softwareVersion, heardAt]) => ({
        service,
        softwareVersion,
        silentMs: Math.max(0, now - heardAt),
      }))
    );
  }

  /** @param heardAt monotonic time of a server's heartbeat, in milliseconds */
  record(service: string, softwareVersion: string, heardAt: number): void {
    const versions = this.#heardAt.get(service) ?? new Map<string, number>();
    const known = versions.get(softwareVersion) ?? -Infinity;
    versions.set(softwareVersion, Math.max(known, heardAt));
    this.#heardAt.set(service, versions);
  }

  /** Whether servers of a service have run several versions lately. */
  isMixed(service: string, now: number): boolean {
    const versions = this.#heardAt.get(service);
    return versions !== undefined && versions.size > 1 &&
      this.of(service, now).size > 1;
  }

  /** Versions of a service that have served lately. */
  of(service: string, now: number): ReadonlySet<string> {
    const versions = this.#heardAt.get(service) ?? new Map<string, number>();
    for (const [softwareVersion, heardAt] of versions) {
      if (now - heardAt > RETENTION_MS) versions.delete(softwareVersion);
    }
    return new Set(versions.keys());
  }
}
