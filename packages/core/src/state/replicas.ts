import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** A decision that one backend server holds a model or an adapter. */
export interface Replica {
  /** Log index of the decision: its identity and the fence of its load. */
  readonly index: number;
  readonly server: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** `service/model`, or `service/model:adapter`. */
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
  readonly kvBytes: number;
  /** Log index of the newest decision to unload: the fence of the unload. */
  readonly unloadIndex: number | undefined;
}

/** The committed replica decisions. */
export class Replicas {
  readonly #limits: types.Limits;
  readonly #byIndex = new Map<number, Replica>();

  constructor(limits: types.Limits, saved: readonly Replica[] = []) {
    this.#limits = limits;
    for (const replica of saved) this.#byIndex.set(replica.index, replica);
  }

  get(index: number): Replica | undefined {
    return this.#byIndex.get(index);
  }

  /** All decisions, oldest first. */
  list(): Replica[] {
    return [...this.#byIndex.values()];
  }

  decide(
    command: Command<"decide-replica">,
    position: types.LogPosition,
  ): CommandResult {
    if (this.#byIndex.size >= this.#limits.replicas) {
      return results.full("too many replicas are decided");
    }
    for (const replica of this.#byIndex.values()) {
      if (isSame(replica, command)) {
        return results.invalid(`already decided at ${replica.index}`);
      }
    }
    this.#byIndex.set(position.index, {
      index: position.index,
      server: command.server,
      incarnation: command.incarnation,
      failureDomain: command.failureDomain,
      model: command.model,
      version: command.version,
      bytes: command.bytes,
      kvBytes: command.kvBytes,
      unloadIndex: undefined,
    });
    return results.done(position.index);
  }

  /** Decides an unload; deciding it again raises its fence. */
  unload(
    command: Command<"decide-unload">,
    position: types.LogPosition,
  ): CommandResult {
    const replica = this.#byIndex.get(command.replica);
    if (replica === undefined) return unknownReplica(command.replica);
    const unloadIndex = position.index;
    this.#byIndex.set(replica.index, { ...replica, unloadIndex });
    return results.done(unloadIndex);
  }

  forget(
    command: Command<"forget-replica">,
    position: types.LogPosition,
  ): CommandResult {
    if (!this.#byIndex.delete(command.replica)) {
      return unknownReplica(command.replica);
    }
    return results.done(position.index);
  }
}

function isSame(
  replica: Replica,
  command: Command<"decide-replica">,
): boolean {
  return replica.server === command.server &&
    replica.incarnation === command.incarnation &&
    replica.model === command.model &&
    replica.version === command.version;
}

function unknownReplica(index: number): CommandResult {
  return results.notFound(`there is no replica ${index}`);
}
