import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as control from "../../src/control/mod.ts";
import type * as memberGroup from "../../src/daemon/member_group.ts";
import * as replication from "../../src/replication/mod.ts";

type Progress = { matchIndex: number; silenceMs: number };

/** A leader whose changes commit at once, with the state that they lead to. */
export class FakeGroup {
  readonly replicated = new control.ReplicatedState();
  readonly self = { id: "a", address: "a:1" };
  readonly status = { role: "leader", term: 1, leader: this.self } as const;
  readonly changes: core.replication.MembershipChangeRequest[] = [];
  membership: core.replication.Membership = {
    voters: [this.self, { id: "b", address: "b:1" }],
    learners: [],
  };
  commitIndex = 0;
  /** Index up to which the others hold the log. */
  matchIndex = Infinity;
  /** Thrown once after the next change was committed. */
  lostAnswer: Error | null = null;

  get driver(): memberGroup.Driver {
    return this as unknown as memberGroup.Driver;
  }

  hasLease(): boolean {
    return true;
  }

  progressOf(): Progress {
    return { matchIndex: this.matchIndex, silenceMs: 0 };
  }

  propose(data: string): Promise<replication.LogPosition> {
    return Promise.resolve(this.#commit({ kind: "command", data }));
  }

  changeMembership(
    change: core.replication.MembershipChangeRequest,
  ): Promise<replication.LogPosition> {
    this.changes.push(change);
    this.membership = changed(this.membership, change);
    const { membership } = this;
    const { note } = change;
    const position = this.#commit({ kind: "membership", membership, note });
    const error = this.lostAnswer;
    this.lostAnswer = null;
    return error === null ? Promise.resolve(position) : Promise.reject(error);
  }

  earlierResult(command: core.state.OperatorCommand) {
    return this.replicated.state.earlierResult(command);
  }

  #commit(payload: core.replication.Payload): replication.LogPosition {
    this.commitIndex += 1;
    const position = { index: this.commitIndex, term: 1 };
    this.replicated.apply([{ ...position, payload }]);
    return position;
  }
}

function changed(
  { voters, learners }: core.replication.Membership,
  change: core.replication.MembershipChange,
): core.replication.Membership {
  switch (change.kind) {
    case "addLearner":
      return { voters, learners: [...learners, change.member] };
    case "promote":
      return {
        voters: [...voters, ...learners.filter(({ id }) => id === change.id)],
        learners: learners.filter(({ id }) => id !== change.id),
      };
    case "remove":
      return { voters: voters.filter(({ id }) => id !== change.id), learners };
  }
}

/** Who answers at an address. */
export function identityAt(address: string): protocol.replication.Identity {
  const id = address.split(":")[0] ?? address;
  return { member: { id, address }, empty: true, formation: null };
}
