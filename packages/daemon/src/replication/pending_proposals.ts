/**
 * Tracks proposals until they are committed, refused or timed out.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";
import { ChangeRefused, Overloaded, TooLarge } from "./errors.ts";
import type { LogPosition } from "./types.ts";

type PendingProposal = {
  step: string;
  deadline: number;
  position: LogPosition | null;
  resolve: (position: LogPosition) => void;
  reject: (error: Error) => void;
};

/** The promises of proposals by id. Each one is settled once. */
export class PendingProposals {
  #self: string;
  #addressOf: (id: string) => string | null;
  #pending = new Map<number, PendingProposal>();
  #idsByIndex = new Map<number, number[]>();
  #lastId = 0;

  constructor(self: string, addressOf: (id: string) => string | null) {
    this.#self = self;
    this.#addressOf = addressOf;
  }

  /** Number of proposals that are not settled. */
  get size(): number {
    return this.#pending.size;
  }

  /** Adds a proposal that is rejected with `OutcomeUnknown` at `deadline`. */
  add(
    step: string,
    deadline: number,
  ): { id: number; result: Promise<LogPosition> } {
    this.#lastId += 1;
    const id = this.#lastId;
    const result = new Promise<LogPosition>((resolve, reject) => {
      const position = null;
      this.#pending.set(id, { step, deadline, position, resolve, reject });
    });
    return { id, result };
  }

  /** Processes the replica's outcome of a proposal. */
  handleOutcome(outcome: replication.Outcome): void {
    const proposal = this.#pending.get(outcome.id);
    if (proposal === undefined) {
      return;
    }
    switch (outcome.kind) {
      case "appended": {
        const { id, index, term } = outcome;
        proposal.position = { index, term };
        const ids = this.#idsByIndex.get(index) ?? [];
        this.#idsByIndex.set(index, [...ids, id]);
        return;
      }
      case "refused":
        this.#remove(outcome.id);
        proposal.reject(this.#refusalError(proposal.step, outcome));
        return;
      default:
        protocol.errors.assertNever(outcome);
    }
  }

  /** Settles the proposals at the indexes of applied entries. */
  handleApplied(entries: replication.Entry[]): void {
    if (this.#idsByIndex.size === 0) {
      return;
    }
    for (const { index, term } of entries) {
      for (const id of this.#idsByIndex.get(index) ?? []) {
        this.#settle(id, term);
      }
    }
  }

  /**
   * Rejects the proposals up to the index of an installed snapshot with
   * `OutcomeUnknown`: the snapshot does not tell whether they were committed.
   */
  handleSnapshotInstalled(index: number): void {
    this.#rejectUnknownWhere(({ position }) =>
      position !== null && position.index <= index
    );
  }

  /** Rejects the proposals whose deadline has passed with `OutcomeUnknown`. */
  expire(now: number): void {
    this.#rejectUnknownWhere(({ deadline }) => deadline <= now);
  }

  /** Rejects all proposals with `OutcomeUnknown`. */
  rejectAll(): void {
    this.#rejectUnknownWhere(() => true);
  }

  /**
   * Settles a proposal when its index is applied. A different term means that
   * another entry was committed there, so that the proposal can't be committed.
   */
  #settle(id: number, term: number): void {
    const proposal = this.#pending.get(id);
    this.#remove(id);
    if (proposal?.position === null || proposal === undefined) {
      return;
    }
    if (proposal.position.term === term) {
      proposal.resolve(proposal.position);
    } else {
      const { step } = proposal;
      proposal.reject(new fleet.NotLeader(step, this.#self, null));
    }
  }

  #rejectUnknownWhere(matches: (proposal: PendingProposal) => boolean): void {
    for (const [id, proposal] of [...this.#pending]) {
      if (matches(proposal)) {
        this.#remove(id);
        const message = "no commit was observed";
        proposal.reject(
          new fleet.OutcomeUnknown(proposal.step, this.#self, message),
        );
      }
    }
  }

  #remove(id: number): void {
    const index = this.#pending.get(id)?.position?.index;
    this.#pending.delete(id);
    if (index === undefined) {
      return;
    }
    const remainingIds = this.#idsByIndex.get(index)?.filter((other) =>
      other !== id
    );
    if (remainingIds === undefined || remainingIds.length === 0) {
      this.#idsByIndex.delete(index);
    } else {
      this.#idsByIndex.set(index, remainingIds);
    }
  }

  #refusalError(
    step: string,
    outcome: Extract<replication.Outcome, { kind: "refused" }>,
  ): Error {
    const { reason, leader } = outcome;
    switch (reason) {
      case "notLeader": {
        const address = leader === null ? null : this.#addressOf(leader);
        return new fleet.NotLeader(step, this.#self, address);
      }
      case "transferring":
        return new fleet.NotLeader(step, this.#self, null);
      case "overloaded":
        return new Overloaded(step, this.#self, "too many uncommitted entries");
      case "tooLarge":
        return new TooLarge(
          step,
          this.#self,
          "the command exceeds the maximum size",
        );
      case "changePending":
      case "notCaughtUp":
      case "unknownMember":
      case "alreadyMember":
      case "lastVoter":
        return new ChangeRefused(step, this.#self, reason);
      default:
        return protocol.errors.assertNever(reason);
    }
  }
}
