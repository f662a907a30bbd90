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

  /** The current state; callers must not change it. */
  get state(): core.gateway.GatewayState {
    return this.#state;
  }

  /** Term of the last applied log entry. */
  get appliedTerm(): number {
    return this.#appliedTerm;
  }

  apply(entries: core.replication.Entry[]): void {
    let hasChanged = false;
    for (const { payload, term } of entries) {
      this.#appliedTerm = term;
      if (payload.kind !== "command") continue;
      const command = JSON.parse(payload.data) as gateway.Command;
      hasChanged = this.#state.apply(command) || hasChanged;
    }
    if (hasChanged) this.emit("change");
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(JSON.stringify({
      term: this.#appliedTerm,
      state: this.#state.toSnapshot(),
    }));
  }

  restore(snapshot: Buffer): void {
    const content = JSON.parse(snapshot.toString("utf8")) as {
      term: number;
      state: string;
    };
    this.#appliedTerm = content.term;
    this.#state = core.gateway.GatewayState.fromSnapshot(content.state);
    this.emit("change");
  }
}
