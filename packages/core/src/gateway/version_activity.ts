/**
 * Time for which a version counts after its last server was heard, in
 * milliseconds: longer than any caller waits for a stream.
 */
const RETENTION_MS = 600_000;

/** A service and a version of the software of its servers. */
export type ServiceVersion = {
  readonly service: string;
  readonly softwareVersion: string;
};

/**
 * Remembers when the leader has last heard servers of each software version, to
 * forget the versions of which there are none any more.
 *
 * @example
 * ```ts
 * activity.record({ service: "advice", softwareVersion: "v2" }, now);
 * activity.expired(state.versionsByService, now);
 * ```
 */
export class VersionActivity {
  readonly #heardAt = new Map<string, number>();
  readonly #startedAt: number;

  /** @param now monotonic time at which the leader's term began, in ms */
  constructor(now: number) {
    this.#startedAt = now;
  }

  /** Records a heartbeat of a server. */
  record(version: ServiceVersion, now: number): void {
    this.#heardAt.set(versionKey(version), now);
  }

  /** Versions whose servers have been silent for long. */
  expired(
    versions: ReadonlyMap<string, readonly string[]>,
    now: number,
  ): ServiceVersion[] {
    return [...versions]
      .flatMap(([service, names]) =>
        names.map((softwareVersion) => ({ service, softwareVersion }))
      )
      .filter((version) => {
        const heardAt = this.#heardAt.get(versionKey(version)) ??
          this.#startedAt;
        return now - heardAt > RETENTION_MS;
      });
  }
}

/** Identifies a version of a service in maps and sets. */
export function versionKey(
  { service, softwareVersion }: ServiceVersion,
): string {
  return JSON.stringify([service, softwareVersion]);
}
