import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** A decision to hold a model or an adapter on a backend server. */
export interface Replica {
  /** Log index of the decision: its id, and the fencing token of the load. */
  readonly index: number;
  readonly server: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** `service/model`, or `service/model:adapter`. */
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
  readonly kvBytes: number;
  /**
   * Log index of the newest unload decision: the fencing token of the unload.
   */
  readonly unloadIndex: number | undefined;
}

/** Committed replica decisions by log index. */
export class Replicas {
  readonly #limits: types.Limits;
  readonly #byIndex = new Map<number, Replica>();

  constructor(limits: types.Limits, savedReplicas: readonly Replica[] = []) {
    this.#limits = limits;
    for (const replica of savedReplicas) {
      this.#byIndex.set(replica.index, replica);
    }
  }

  get(index: number): Replica | undefined {
    return this.#byIndex.get(index);
  }

  /** Lists all decisions, oldest first. */
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
      if (isSameReplica(replica, command)) {
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

  /** Decides an unload; another decision raises its fencing token. */
  unload(
    command: Command<"decide-unload">,
    position: types.LogPosition,
  ): CommandResult {
    const replica = this.#byIndex.get(command.replica);
    if (replica === undefined) return replicaNotFound(command.replica);
    const unloadIndex = position.index;
    this.#byIndex.set(replica.index, { ...replica, unloadIndex });
    return results.done(unloadIndex);
  }

  forget(
    command: Command<"forget-replica">,
    position: types.LogPosition,
  ): CommandResult {
    if (!this.#byIndex.delete(command.replica)) {
      return replicaNotFound(command.replica);
    }
    return results.done(position.index);
  }
}

function isSameReplica(
  replica: Replica,
  command: Command<"decide-replica">,
): boolean {
  return replica.server === command.server &&
    replica.incarnation === command.incarnation &&
    replica.model === command.model &&
    replica.version === command.version;
}

function replicaNotFound(index: number): CommandResult {
  return results.notFound(`there is no replica ${index}`);
}
