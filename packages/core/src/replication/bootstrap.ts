/**
 * The first entry of a group.
 *
 * @module
 */

import type { Entry, HardState, Membership } from "./types.ts";

/** Term of the entry with which a group is formed. */
export const BOOTSTRAP_TERM = 1;

/** What an initial voter writes to its empty disk. */
export type BootstrapState = { hardState: HardState; entries: Entry[] };

/**
 * Makes the records with which every initial voter starts.
 *
 * Every initial voter must be given the same membership, and only while the
 * disks of all of them are empty.
 *
 * @example
 * ```ts
 * const records = formation({
 *   voters: [{ id: "c1-5f2a", address: "http://127.0.0.1:7001" }],
 *   learners: [],
 * });
 * await store.persist(records);
 * ```
 */
export function bootstrapState(membership: Membership): BootstrapState {
  const entry: Entry = {
    index: 1,
    term: BOOTSTRAP_TERM,
    payload: { kind: "membership", membership },
  };
  return {
    hardState: { term: BOOTSTRAP_TERM, vote: null },
    entries: [entry],
  };
}
