import type * as state from "../state/mod.ts";
import type * as announcedServers from "./announced_servers.ts";
import * as types from "./types.ts";

/**
 * Replicas whose decisions were removed recently.
 *
 * A delayed announcement from before the unload may still list such a replica,
 * which must not be taken for a model that is loaded without a decision.
 */
export class ForgottenReplicas {
  /** Removal time by model version, by server incarnation. */
  readonly #byIncarnation = new Map<string, Map<string, number>>();

  add(replica: state.Replica, nowMs: number): void {
    const incarnation = types.incarnationKey(replica);
    const versions = this.#byIncarnation.get(incarnation) ?? new Map();
    versions.set(types.modelVersionKey(replica.model, replica.version), nowMs);
    this.#byIncarnation.set(incarnation, versions);
  }

  /** Removes entries that no delayed announcement can list any more. */
  expire(nowMs: number): void {
    for (const [incarnation, versions] of this.#byIncarnation) {
      for (const [version, forgottenMs] of versions) {
        const ageMs = nowMs - forgottenMs;
        if (
          ageMs > types.SILENCE_TIMEOUT_MS + types.MAX_ANNOUNCEMENT_DELAY_MS
        ) {
          versions.delete(version);
        }
      }
      if (versions.size === 0) this.#byIncarnation.delete(incarnation);
    }
  }

  /** Model versions that the newest announcement may list by mistake. */
  forgottenOn(server: announcedServers.AnnouncedServer): ReadonlySet<string> {
    const { id, incarnation } = server.announcement;
    const versions = this.#byIncarnation.get(`${id}/${incarnation}`) ?? [];
    const forgotten = new Set<string>();
    for (const [version, forgottenMs] of versions) {
      if (server.lastSeenMs < forgottenMs + types.MAX_ANNOUNCEMENT_DELAY_MS) {
        forgotten.add(version);
      }
    }
    return forgotten;
  }
}
