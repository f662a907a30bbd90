/**
 * Proposals that wait for their commit.
 *
 * @module
 */

import type { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";
import { ChangeRefused, Overloaded, TooLarge } from "./errors.ts";
import type { LogPosition } from "./types.ts";

type Waiting = {
  step: string;
  deadline: number;
  position: LogPosition | null;
  resolve: (position: LogPosition) => void;
  reject: (error: Error) => void;
};

/** Settles the promise of each proposal once, by its id. */
export class Proposals {
  #self: string;
  #addressOf: (id: string) => string | null;
  #waiting = new Map<number, Waiting>();
  #idsByIndex = new Map<number, number[]>();
  #lastId = 0;

  constructor(self: string, addressOf: (id: string) => string | null) {
    this.#self = self;
    this.#addressOf = addressOf;
  }

  /** Number of proposals without an outcome. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a proposal that ends in `OutcomeUnknown` at `deadline`. */
  add(
    step: string,
    deadline: number,
  ): { id: number; result: Promise<LogPosition> } {
    this.#lastId += 1;
    const id = this.#lastId;
    const result = new Promise<LogPosition>((resolve, reject) => {
      const position = null;
      this.#waiting.set(id, { step, deadline, position, resolve, reject });
    });
    return { id, result };
  }

  /** Takes the replica's answer to a proposal. */
  answer(outcome: replication.Outcome): void {
    const waiting = this.#waiting.get(outcome.id);
    if (waiting === undefined) {
      return;
    }
    switch (outcome.kind) {
      case "appended": {
        const { id, index, term } = outcome;
        waiting.position = { index, term };
        const ids = this.#idsByIndex.get(index) ?? [];
        this.#idsByIndex.set(index, [...ids, id]);
        return;
      }
      case "refused":
        this.#remove(outcome.id);
        waiting.reject(this.#refusal(waiting.step, outcome));
        return;
      default:
        protocol.errors.assertNever(outcome);
    }
  }

  /** Settles the proposals at the indexes of applied entries. */
  applied(entries: replication.Entry[]): void {
    if (this.#idsByIndex.size === 0) {
      return;
    }
    for (const { index, term } of entries) {
      for (const id of this.#idsByIndex.get(index) ?? []) {
        this.#settle(id, term);
      }
    }
  }

  /** Ends the proposals whose fate a snapshot hides. */
  covered(index: number): void {
    this.#rejectWhere(({ position }) =>
      position !== null && position.index <= index
    );
  }

  /** Ends the proposals that have waited too long. */
  expire(now: number): void {
    this.#rejectWhere(({ deadline }) => deadline <= now);
  }

  /** Ends all proposals. */
  abandon(): void {
    this.#rejectWhere(() => true);
  }

  /** Another entry at its index means that a proposal can't be committed. */
  #settle(id: number, term: number): void {
    const waiting = this.#waiting.get(id);
    this.#remove(id);
    if (waiting?.position === null || waiting === undefined) {
      return;
    }
    if (waiting.position.term === term) {
      waiting.resolve(waiting.position);
    } else {
      const { step } = waiting;
      waiting.reject(new fleet.NotLeader(step, this.#self, null));
    }
  }

  #rejectWhere(matches: (waiting: Waiting) => boolean): void {
    for (const [id, waiting] of [...this.#waiting]) {
      if (matches(waiting)) {
        this.#remove(id);
        const message = "the commit was not seen";
        waiting.reject(
          new fleet.OutcomeUnknown(waiting.step, this.#self, message),
        );
      }
    }
  }

  #remove(id: number): void {
    const index = this.#waiting.get(id)?.position?.index;
    this.#waiting.delete(id);
    if (index === undefined) {
      return;
    }
    const others = this.#idsByIndex.get(index)?.filter((other) => other !== id);
    if (others === undefined || others.length === 0) {
      this.#idsByIndex.delete(index);
    } else {
      this.#idsByIndex.set(index, others);
    }
  }

  #refusal(
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
        return new Overloaded(step, this.#self, "too many entries wait");
      case "tooLarge":
        return new TooLarge(step, this.#self, "the command is too large");
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
