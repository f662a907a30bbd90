import type * as state from "../state/mod.ts";
import type * as fleet from "./fleet.ts";
import * as types from "./types.ts";

/**
 * Replicas that were forgotten within the delay of an announcement.
 *
 * An announcement that was made before the unload may still be on its way and
 * list them.
 */
export class Forgotten {
  /** Time of forgetting by replica name, by server incarnation. */
  readonly #byIncarnation = new Map<string, Map<string, number>>();

  add(replica: state.Replica, nowMs: number): void {
    const incarnation = types.incarnationKey(replica);
    const names = this.#byIncarnation.get(incarnation) ?? new Map();
    names.set(types.modelVersionKey(replica.model, replica.version), nowMs);
    this.#byIncarnation.set(incarnation, names);
  }

  /** Drops what no announcement can list any more. */
  expire(nowMs: number): void {
    for (const [incarnation, names] of this.#byIncarnation) {
      for (const [name, forgottenMs] of names) {
        const ageMs = nowMs - forgottenMs;
        if (
          ageMs > types.SILENCE_TIMEOUT_MS + types.MAX_ANNOUNCEMENT_DELAY_MS
        ) {
          names.delete(name);
        }
      }
      if (names.size === 0) this.#byIncarnation.delete(incarnation);
    }
  }

  /** Names that the newest announcement may list although they are gone. */
  on(server: fleet.AnnouncedServer): ReadonlySet<string> {
    const { id, incarnation } = server.announcement;
    const names = this.#byIncarnation.get(`${id}/${incarnation}`) ?? [];
    const gone = new Set<string>();
    for (const [name, forgottenMs] of names) {
      if (server.lastSeenMs < forgottenMs + types.MAX_ANNOUNCEMENT_DELAY_MS) {
        gone.add(name);
      }
    }
    return gone;
  }
}
