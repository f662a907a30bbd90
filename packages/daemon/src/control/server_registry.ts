import type * as protocol from "@ebonypath/protocol";

/** A server without an announcement for this time gets no work, in ms. */
export const SERVER_SILENT_MS = 3_500;
/** A silent server is forgotten after this time, in milliseconds. */
const SERVER_FORGOTTEN_MS = 10 * 60_000;

/** A backend server as it announced itself last. */
export interface Server {
  readonly announcement: protocol.backend.Announcement;
  /** When it was heard last; monotonic, in milliseconds. */
  readonly heardAt: number;
}

/** What an announcement changed. */
export type Heard =
  /** An older message of this incarnation; it was ignored. */
  | "outdated"
  | "updated"
  /** The server is new, or its process was started again. */
  | "started";

/** The backend servers, as their announcements describe them. */
export class ServerRegistry {
  readonly #servers = new Map<string, Server>();
  /** Incarnations that were replaced, so that late messages are ignored. */
  readonly #replaced = new Map<string, string>();

  get size(): number {
    return this.#servers.size;
  }

  /** Takes an announcement. */
  hear(announcement: protocol.backend.Announcement, now: number): Heard {
    const known = this.#servers.get(announcement.id);
    const server = { announcement, heardAt: now };
    if (known === undefined) {
      this.#servers.set(announcement.id, server);
      return "started";
    }
    const latest = known.announcement;
    if (latest.incarnation !== announcement.incarnation) {
      if (this.#replaced.get(announcement.id) === announcement.incarnation) {
        return "outdated";
      }
      this.#replaced.set(announcement.id, latest.incarnation);
      this.#servers.set(announcement.id, server);
      return "started";
    }
    if (announcement.sequence <= latest.sequence) return "outdated";
    this.#servers.set(announcement.id, server);
    return "updated";
  }

  get(id: string): Server | undefined {
    return this.#servers.get(id);
  }

  list(): Server[] {
    return [...this.#servers.values()];
  }

  /** Forgets servers that have been silent for long; returns their ids. */
  expire(now: number): string[] {
    const gone = this.list()
      .filter((server) => now - server.heardAt > SERVER_FORGOTTEN_MS)
      .map((server) => server.announcement.id);
    for (const id of gone) {
      this.#servers.delete(id);
      this.#replaced.delete(id);
    }
    return gone;
  }
}

/**
 * Whether a server may get new work.
 *
 * @example
 * ```ts
 * isUsable(server, withdrawnFailureDomains, performance.now());
 * ```
 */
export function isUsable(
  server: Server,
  withdrawn: ReadonlySet<string>,
  now: number,
): boolean {
  const { announcement } = server;
  if (announcement.leaving) return false;
  if (withdrawn.has(announcement.failureDomain)) return false;
  return now - server.heardAt < SERVER_SILENT_MS;
}
