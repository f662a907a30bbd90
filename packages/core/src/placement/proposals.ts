import type * as state from "../state/mod.ts";
import * as types from "./types.ts";

/** An action that becomes an entry of the log. */
export type Proposal = Exclude<types.Action, types.OrderAction>;

/**
 * Proposals whose entries are not applied yet.
 *
 * A decision counts against memory from its proposal on, so that it is kept
 * until `settle` is called or the decision is committed.
 */
export class Proposals {
  readonly #byName = new Map<string, Proposal>();

  /** Adds a proposal; false if the same one is under way. */
  add(proposal: Proposal): boolean {
    const name = nameOf(proposal);
    if (this.#byName.has(name)) return false;
    this.#byName.set(name, proposal);
    return true;
  }

  /** The entry of a proposal was applied, or certainly will not be. */
  settle(proposal: Proposal): void {
    this.#byName.delete(nameOf(proposal));
  }

  /** Drops proposals whose effect shows in the committed decisions. */
  retain(replicas: readonly state.Replica[]): void {
    if (this.#byName.size === 0) return;
    const decided = new Set(replicas.map(targetName));
    for (const [name, proposal] of this.#byName) {
      const target = targetOf(proposal);
      if (target !== undefined && decided.has(targetName(target))) {
        this.#byName.delete(name);
      }
    }
  }

  /** Replicas whose unloading is proposed. */
  unloads(): Set<number> {
    const indexes = [...this.#byName.values()].flatMap((item) =>
      item.kind === "unload" ? [item.replica] : []
    );
    return new Set(indexes);
  }

  /** Decisions that are not committed yet. */
  targets(): types.ReplicaSpec[] {
    return [...this.#byName.values()].flatMap((item) => targetOf(item) ?? []);
  }
}

function targetOf(proposal: Proposal): types.ReplicaSpec | undefined {
  return proposal.kind === "decide" || proposal.kind === "adopt"
    ? proposal
    : undefined;
}

function targetName(target: types.ReplicaSpec | state.Replica): string {
  const version = types.modelVersionKey(target.model, target.version);
  return `${target.server}/${target.incarnation}/${version}`;
}

function nameOf(proposal: Proposal): string {
  const target = targetOf(proposal);
  if (target !== undefined) return `decide ${targetName(target)}`;
  return "replica" in proposal ? `${proposal.kind} ${proposal.replica}` : "";
}
