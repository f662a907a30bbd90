import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Command = Extract<protocol.state.Command, { kind: "set-grantable" }>;

/** Pools of which leaders may grant shares. */
export interface GrantablePools {
  /** Token buckets, by workspace. */
  readonly buckets: ReadonlySet<string>;
  /** Slots, by server process. */
  readonly servers: ReadonlySet<string>;
}

/** How grantable pools are kept in a snapshot. */
export interface SavedGrantablePools {
  readonly buckets: readonly string[];
  readonly servers: readonly string[];
}

/**
 * The pools of which leaders may grant shares. Whoever led, no share of any
 * other pool is live.
 */
export class GrantableRegister {
  readonly #limits: types.Limits;
  /** Nothing in logs of early builds, whose leaders granted of any pool. */
  #pools: GrantablePools | undefined;

  constructor(limits: types.Limits, saved?: SavedGrantablePools) {
    this.#limits = limits;
    this.#pools = saved && {
      buckets: new Set(saved.buckets),
      servers: new Set(saved.servers),
    };
  }

  /** The pools, or nothing if shares of any may have been granted. */
  get pools(): GrantablePools | undefined {
    return this.#pools;
  }

  /** Adds or removes pools; none is added beyond the bound. */
  set(command: Command, position: types.LogPosition): CommandResult {
    const pools = {
      buckets: changed(this.#pools?.buckets, command.buckets, command),
      servers: changed(this.#pools?.servers, command.servers, command),
    };
    const size = pools.buckets.size + pools.servers.size;
    if (command.isGrantable && size > this.#limits.grantablePools) {
      return results.full("shares of too many pools are granted");
    }
    this.#pools = pools;
    return results.done(position.index);
  }

  toSnapshot(): SavedGrantablePools | undefined {
    return this.#pools && {
      buckets: [...this.#pools.buckets],
      servers: [...this.#pools.servers],
    };
  }
}

function changed(
  before: ReadonlySet<string> | undefined,
  names: readonly string[],
  { isGrantable }: Command,
): Set<string> {
  const after = new Set(before);
  for (const name of names) {
    if (isGrantable) after.add(name);
    else after.delete(name);
  }
  return after;
}
