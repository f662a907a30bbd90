import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Command = Extract<protocol.state.Command, { kind: "set-grantable" }>;

/** Pools of which the leader may grant shares to entry hosts. */
export interface GrantablePools {
  /** Workspaces whose token buckets are grantable. */
  readonly buckets: ReadonlySet<string>;
  /** Server processes whose slots are grantable: names with incarnations. */
  readonly servers: ReadonlySet<string>;
}

/** Grantable pools in a snapshot. */
export interface GrantablePoolsSnapshot {
  readonly buckets: readonly string[];
  readonly servers: readonly string[];
}

/**
 * The pools of which leaders may grant shares. No leader has granted a live
 * share of any other pool, which a new leader relies on.
 */
export class GrantablePoolRegistry {
  readonly #limits: types.Limits;
  /**
   * Undefined after a log of builds that didn't track grantable pools: their
   * leaders granted shares of any pool.
   */
  #pools: GrantablePools | undefined;

  constructor(limits: types.Limits, snapshot?: GrantablePoolsSnapshot) {
    this.#limits = limits;
    this.#pools = snapshot && {
      buckets: new Set(snapshot.buckets),
      servers: new Set(snapshot.servers),
    };
  }

  /** The pools; `undefined` if shares of any pool may have been granted. */
  get pools(): GrantablePools | undefined {
    return this.#pools;
  }

  /** Adds or removes pools; refuses to add pools beyond the limit. */
  set(command: Command, position: types.LogPosition): CommandResult {
    const pools = {
      buckets: updateNames(this.#pools?.buckets, command.buckets, command),
      servers: updateNames(this.#pools?.servers, command.servers, command),
    };
    const size = pools.buckets.size + pools.servers.size;
    if (command.isGrantable && size > this.#limits.grantablePools) {
      return results.full("shares of too many pools are granted");
    }
    this.#pools = pools;
    return results.done(position.index);
  }

  toSnapshot(): GrantablePoolsSnapshot | undefined {
    return this.#pools && {
      buckets: [...this.#pools.buckets],
      servers: [...this.#pools.servers],
    };
  }
}

function updateNames(
  current: ReadonlySet<string> | undefined,
  names: readonly string[],
  { isGrantable }: Command,
): Set<string> {
  const updated = new Set(current);
  for (const name of names) {
    if (isGrantable) updated.add(name);
    else updated.delete(name);
  }
  return updated;
}
