import type * as state from "../state/mod.ts";
import * as types from "./types.ts";

/** An action that is proposed as an entry of the log. */
export type Proposal = Exclude<types.Action, types.OrderAction>;

/**
 * Proposals whose log entries are not applied yet.
 *
 * A proposed decision already counts against the memory of its server, so it is
 * kept until `settle` is called or the decision is committed.
 */
export class PendingProposals {
  readonly #byKey = new Map<string, Proposal>();

  /** Adds a proposal. Returns false if the same one is already pending. */
  add(proposal: Proposal): boolean {
    const key = proposalKey(proposal);
    if (this.#byKey.has(key)) return false;
    this.#byKey.set(key, proposal);
    return true;
  }

  /** Removes a proposal that was applied or certainly never will be. */
  settle(proposal: Proposal): void {
    this.#byKey.delete(proposalKey(proposal));
  }

  /** Removes proposals that are among the committed decisions. */
  retain(replicas: readonly state.Replica[]): void {
    if (this.#byKey.size === 0) return;
    const decided = new Set(replicas.map(replicaKey));
    for (const [key, proposal] of this.#byKey) {
      const spec = replicaSpecOf(proposal);
      if (spec !== undefined && decided.has(replicaKey(spec))) {
        this.#byKey.delete(key);
      }
    }
  }

  /** Log indexes of the replicas whose unload is proposed. */
  proposedUnloads(): Set<number> {
    const indexes = [...this.#byKey.values()].flatMap((item) =>
      item.kind === "unload" ? [item.replica] : []
    );
    return new Set(indexes);
  }

  /** Replicas that are proposed and not committed yet. */
  proposedReplicas(): types.ReplicaSpec[] {
    return [...this.#byKey.values()].flatMap((item) =>
      replicaSpecOf(item) ?? []
    );
  }
}

function replicaSpecOf(proposal: Proposal): types.ReplicaSpec | undefined {
  return proposal.kind === "decide" || proposal.kind === "adopt"
    ? proposal
    : undefined;
}

function replicaKey(replica: types.ReplicaSpec | state.Replica): string {
  const version = types.modelVersionKey(replica.model, replica.version);
  return `${replica.server}/${replica.incarnation}/${version}`;
}

function proposalKey(proposal: Proposal): string {
  const spec = replicaSpecOf(proposal);
  if (spec !== undefined) return `decide ${replicaKey(spec)}`;
  return "replica" in proposal ? `${proposal.kind} ${proposal.replica}` : "";
}
