/**
 * Replicated state machine of a control host of a gateway fleet.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as events from "node:events";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as replication from "../../replication/mod.ts";

interface StateMachineEvents {
  /** The state has changed. */
  change: [];
}

/** Applies committed log entries to the gateway state. */
export class GatewayStateMachine extends events.EventEmitter<StateMachineEvents>
  implements replication.StateMachine {
  #state = new core.gateway.GatewayState();
  #appliedTerm = 0;
  #appliedIndex = 0;

  /** The current state; callers must not change it. */
  get state(): core.gateway.GatewayState {
    return this.#state;
  }

  /** Term of the last applied log entry. */
  get appliedTerm(): number {
    return this.#appliedTerm;
  }

  /** Index of the last applied log entry; 0 if a snapshot did not tell. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  apply(entries: core.replication.Entry[]): void {
    let hasChanged = false;
    for (const { index, payload, term } of entries) {
      this.#appliedTerm = term;
      this.#appliedIndex = index;
      if (payload.kind !== "command") continue;
      const command = JSON.parse(payload.data) as gateway.Command;
      hasChanged = this.#state.apply(command, index) || hasChanged;
    }
    if (hasChanged) this.emit("change");
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(JSON.stringify({
      term: this.#appliedTerm,
      index: this.#appliedIndex,
      state: this.#state.toSnapshot(),
    }));
  }

  restore(snapshot: Buffer): void {
    const content = JSON.parse(snapshot.toString("utf8")) as {
      term: number;
      /** Missing in snapshots that early builds wrote. */
      index?: number;
      state: string;
    };
    this.#appliedTerm = content.term;
    this.#appliedIndex = content.index ?? 0;
    this.#state = core.gateway.GatewayState.fromSnapshot(content.state);
    this.emit("change");
  }
}
