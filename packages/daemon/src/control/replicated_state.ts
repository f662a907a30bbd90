/**
 * The state machine of a control host, fed by the replicated log.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as events from "node:events";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as feed from "../feed/mod.ts";
import * as fleet from "../fleet/mod.ts";

/** Results kept for proposals that are about to ask for them. */
const RETAINED_RESULTS = 4_096;

/** Where a proposal was applied. */
export interface Position {
  readonly index: number;
  readonly term: number;
}

/** The replicated log, as the state needs it. */
export interface CommandLog {
  /** Resolves once the command is committed and applied here. */
  propose(data: string): Promise<Position>;
}

interface StateEvents {
  /** The view changed at a log index. */
  changes: [index: number, changes: readonly protocol.state.ViewChange[]];
  /** One command was applied. */
  applied: [
    index: number,
    command: protocol.state.Command,
    result: protocol.state.CommandResult,
  ];
  /** The whole state was replaced by a snapshot. */
  restored: [];
}

/** Applies committed entries to the state and remembers recent results. */
export class ReplicatedState extends events.EventEmitter<StateEvents> {
  #state = new core.state.StateMachine();
  readonly #changes = new feed.ChangeLog(0);
  readonly #results = new Map<number, protocol.state.CommandResult>();
  #appliedIndex = 0;
  #appliedTerm = 0;
  #timeMs = 0;

  /** The state; to be read only, and within one turn of the event loop. */
  get state(): core.state.StateMachine {
    return this.#state;
  }

  /** Recent changes of the view. */
  get changes(): feed.ChangeLog {
    return this.#changes;
  }

  /** Log index of the last applied entry. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Term of the last applied entry. */
  get appliedTerm(): number {
    return this.#appliedTerm;
  }

  /** Applies committed entries in the order of the log. */
  apply(entries: readonly core.replication.Entry[]): void {
    for (const entry of entries) this.#applyEntry(entry);
  }

  /** The whole state after the last applied entry. */
  takeSnapshot(): Uint8Array {
    const snapshot = {
      index: this.#appliedIndex,
      term: this.#appliedTerm,
      timeMs: this.#timeMs,
      state: this.#state.toSnapshot(),
    };
    return Buffer.from(JSON.stringify(snapshot));
  }

  /** Replaces the whole state by a snapshot. */
  restore(data: Buffer): void {
    const snapshot = JSON.parse(data.toString("utf8")) as {
      index: number;
      term: number;
      timeMs: number;
      state: string;
    };
    this.#state = core.state.StateMachine.fromSnapshot(snapshot.state);
    this.#appliedIndex = snapshot.index;
    this.#appliedTerm = snapshot.term;
    this.#timeMs = snapshot.timeMs;
    this.#results.clear();
    this.#changes.reset(snapshot.index);
    this.emit("restored");
  }

  /** Renders a command for the log; its time never decreases. */
  stamp(asked: protocol.state.Command, nowMs: number): string {
    const timeMs = Math.max(nowMs, this.#timeMs);
    const command = core.state.addVerdict(asked);
    const stamped: protocol.state.TimestampedCommand = { timeMs, command };
    return JSON.stringify(stamped);
  }

  /**
   * Proposes a command at the leader and waits for its result.
   *
   * @param nowMs wall clock; the stamp in the log never decreases
   * @throws {fleet.NotLeader} this host does not lead
   * @throws {fleet.OutcomeUnknown} the command may still be committed
   */
  async propose(
    log: CommandLog,
    command: protocol.state.Command,
    nowMs: number,
  ): Promise<protocol.state.CommandResult> {
    const position = await log.propose(this.stamp(command, nowMs));
    const result = this.#results.get(position.index);
    if (result !== undefined) return result;
    throw new fleet.OutcomeUnknown(
      "state.propose",
      "self",
      `the result of index ${position.index} is no longer known`,
    );
  }

  #applyEntry(entry: core.replication.Entry): void {
    this.#appliedIndex = entry.index;
    this.#appliedTerm = entry.term;
    const data = commandOf(entry.payload);
    if (data === undefined) return;
    const stamped = JSON.parse(data) as protocol.state.TimestampedCommand;
    this.#timeMs = Math.max(this.#timeMs, stamped.timeMs);
    const applied = this.#state.apply(entry.index, stamped);
    this.#remember(entry.index, applied.result);
    this.#changes.append(entry.index, applied.changes);
    if (applied.changes.length > 0) {
      this.emit("changes", entry.index, applied.changes);
    }
    this.emit("applied", entry.index, stamped.command, applied.result);
  }

  #remember(index: number, result: protocol.state.CommandResult): void {
    this.#results.set(index, result);
    if (this.#results.size <= RETAINED_RESULTS) return;
    const oldest = this.#results.keys().next();
    if (!oldest.done) this.#results.delete(oldest.value);
  }
}

/** The command in an entry; a change of members may carry one. */
function commandOf(payload: core.replication.Payload): string | undefined {
  switch (payload.kind) {
    case "command":
      return payload.data;
    case "membership":
      return payload.note;
    case "noop":
      return undefined;
    default:
      return protocol.errors.assertNever(payload);
  }
}
