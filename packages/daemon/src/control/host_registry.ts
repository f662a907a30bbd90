import type * as protocol from "@ebonypath/protocol";

/** A host without an exchange for this time counts as lost, in ms. */
export const HOST_LOST_MS = 10_000;
/** A lost host is forgotten after this time, in milliseconds. */
const HOST_FORGOTTEN_MS = 10 * 60_000;

/** What the leader knows of one process of a host. */
export interface Host {
  readonly identity: protocol.control.HostIdentity;
  readonly roles: readonly string[];
  /** When it was heard last; monotonic, in milliseconds. */
  readonly heardAt: number;
  /** Log index up to which it applied the feed. */
  readonly appliedIndex: number;
  /** Version of the configuration in force there. */
  readonly version: number;
  /** Whether it starts new work. */
  readonly current: boolean;
  readonly draining: boolean;
  readonly demand: readonly protocol.control.Demand[];
  readonly lingering: readonly protocol.control.LingeringRequests[];
  readonly deferredCapacity: number;
}

/** A replica that is to be unloaded. */
export interface Unloading {
  readonly server: string;
  readonly incarnation: string;
  /** Its model or adapter. */
  readonly model: string;
}

/** The entry hosts, as their exchanges describe them. */
export class HostRegistry {
  readonly #hosts = new Map<string, Host>();

  /** Takes what a host said in its exchange. */
  hear(request: protocol.control.ExchangeRequest, now: number): void {
    const key = keyOf(request.host);
    // An exchange that waited for a commit may be older than the last one.
    const wasDraining = this.#hosts.get(key)?.draining ?? false;
    this.#hosts.set(key, {
      identity: request.host,
      roles: request.roles,
      version: request.version,
      current: request.current,
      heardAt: now,
      appliedIndex: request.appliedIndex,
      draining: request.draining || wasDraining,
      demand: request.demand,
      lingering: request.lingering,
      deferredCapacity: request.deferredCapacity,
    });
  }

  /** Hosts that were heard recently. */
  live(now: number): Host[] {
    return [...this.#hosts.values()]
      .filter((host) => now - host.heardAt < HOST_LOST_MS);
  }

  /** Whether a process of a host was heard recently. */
  isLive(name: string, incarnation: string, now: number): boolean {
    const host = this.#hosts.get(`${name}/${incarnation}`);
    return host !== undefined && now - host.heardAt < HOST_LOST_MS;
  }

  /**
   * Requests of all live hosts that run on a replica which hosts have heard is
   * to be unloaded; undefined until each of them has reported since `sinceMs`.
   */
  lingeringOn(
    replica: Unloading,
    sinceMs: number,
    now: number,
  ): number | undefined {
    const hosts = this.live(now);
    if (hosts.some((host) => host.heardAt < sinceMs)) return undefined;
    return hosts.flatMap((host) => host.lingering)
      .filter((row) => isOn(replica, row))
      .reduce((sum, { running }) => sum + running, 0);
  }

  /** Forgets hosts that have been silent for long. */
  expire(now: number): void {
    for (const [key, host] of this.#hosts) {
      if (now - host.heardAt > HOST_FORGOTTEN_MS) this.#hosts.delete(key);
    }
  }
}

function keyOf(identity: protocol.control.HostIdentity): string {
  return `${identity.name}/${identity.incarnation}`;
}

/** Whether requests run on a replica, or on an adapter of its model. */
function isOn(
  { server, incarnation, model }: Unloading,
  row: protocol.control.LingeringRequests,
): boolean {
  if (row.server !== server || row.incarnation !== incarnation) return false;
  return row.target === model || row.target.startsWith(`${model}:`);
}
