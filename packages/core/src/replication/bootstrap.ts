/**
 * Initial log of a new replication group.
 *
 * @module
 */

import type { Entry, HardState, Membership } from "./types.ts";

/** Term of the first entry of a group. */
export const BOOTSTRAP_TERM = 1;

/** Hard state and entries that an initial voter writes to its empty disk. */
export type BootstrapState = { hardState: HardState; entries: Entry[] };

/**
 * Creates the hard state and log with which every initial voter starts.
 *
 * Every initial voter must be given the same membership, and only while the
 * disks of all initial voters are empty.
 *
 * @example
 * ```ts
 * const records = bootstrapState({
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
