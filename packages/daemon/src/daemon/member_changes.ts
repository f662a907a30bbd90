/**
 * Operators' changes of members, each carried out once.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as control from "../control/mod.ts";
import type * as memberGroup from "./member_group.ts";
import * as memberRefusal from "./member_refusal.ts";

type Change = protocol.control.MemberChange;
type Result = protocol.operators.MemberChangeResult;
type Note = Extract<
  core.state.OperatorCommand,
  { kind: "note-membership" }
>;
type Running = { readonly key: string; readonly result: Promise<Result> };

/** What the changes work with. */
export interface MemberChangesOptions {
  readonly group: Pick<memberGroup.MemberGroup, "change" | "confirm">;
  readonly node: Pick<control.ControlNode, "earlierResult" | "propose">;
  /** Renders a command for the log. */
  stamp(command: protocol.state.Command): string;
}

/**
 * Recognises a change of members that is sent again.
 *
 * The last step of a change carries its record in the same log entry, so that
 * no crash comes between them. A resend of a change that was only begun goes on
 * with it.
 *
 * @example
 * ```ts
 * const changes = new MemberChanges({ group, node, stamp });
 * await changes.change({ kind: "remove", id, operator, changeId });
 * ```
 */
export class MemberChanges {
  readonly #options: MemberChangesOptions;
  /** The one change under way. */
  #running: Running | null = null;

  constructor(options: MemberChangesOptions) {
    this.#options = options;
  }

  /**
   * Makes a change, or gives the first result of the one with this change id.
   *
   * @throws {fleet.NotLeader} this host does not lead; send it again elsewhere
   * @throws {fleet.OutcomeUnknown} it may yet be made; send it again
   */
  async change(change: Change): Promise<Result> {
    const note = noteOf(change);
    const earlier = this.#options.node.earlierResult(note);
    if (earlier !== undefined) return await this.#repeat(change, earlier);
    const running = this.#running;
    if (running?.key === keyOf(note)) return await running.result;
    if (running !== null) return ANOTHER_CHANGE;
    const result = this.#make(change, note);
    this.#running = { key: keyOf(note), result };
    try {
      return await result;
    } finally {
      this.#running = null;
    }
  }

  /** A success is only told while the new voter counts. */
  async #repeat(
    change: Change,
    earlier: protocol.state.CommandResult,
  ): Promise<Result> {
    if (earlier.kind === "done" && change.kind !== "remove") {
      await this.#options.group.confirm(change.address, earlier.index);
    }
    return toResult(earlier);
  }

  async #make(change: Change, note: Note): Promise<Result> {
    const { group, node, stamp } = this.#options;
    const outcome = await group.change(change, stamp(note));
    switch (outcome.kind) {
      case "done":
        return outcome;
      case "postponed":
        return { kind: "refused", reason: outcome.reason };
      case "refused":
      case "not-found":
        return toResult(await node.propose({ ...note, refusal: outcome }));
      default:
        return protocol.errors.assertNever(outcome);
    }
  }
}

const ANOTHER_CHANGE: Result = {
  kind: "refused",
  reason: memberRefusal.describeRefusal("changePending"),
};

function keyOf({ operator, changeId, detail }: Note): string {
  return JSON.stringify([operator, changeId, detail]);
}

function toResult(result: protocol.state.CommandResult): Result {
  switch (result.kind) {
    case "done":
    case "refused":
    case "not-found":
      return result;
    case "invalid":
      return { kind: "refused", reason: result.reason };
    default:
      throw new TypeError(`a change of members ended in ${result.kind}`);
  }
}

function noteOf(change: Change): Note {
  const { operator, changeId } = change;
  const detail = describeChange(change);
  return { kind: "note-membership", operator, changeId, detail };
}

function describeChange(change: Change): string {
  switch (change.kind) {
    case "add":
      return `add ${change.address}`;
    case "remove":
      return `remove ${change.id}`;
    case "replace":
      return `replace ${change.id} by ${change.address}`;
    default:
      return protocol.errors.assertNever(change);
  }
}
