import type * as controlNode from "../../src/control/control_node.ts";
import type * as replicatedState from "../../src/control/replicated_state.ts";

export const TERM = 1;

/** The log of a leader whose lease and term a test changes. */
export class HeldLog implements controlNode.ReplicatedLog {
  readonly role = "leader";
  readonly leaderAddress = "127.0.0.1:1";
  readonly lastIndex: number;
  term = TERM;
  isLeased = true;

  constructor(lastIndex: number) {
    this.lastIndex = lastIndex;
  }

  hasLease(): boolean {
    return this.isLeased;
  }

  members() {
    return [];
  }

  status() {
    return { term: TERM, commitIndex: 1, members: [], mayLose: 0 };
  }

  propose(): ReturnType<replicatedState.CommandLog["propose"]> {
    return Promise.reject(new Error("not proposed"));
  }
}

/** A committed entry without a command. */
export function noop(index: number) {
  return { index, term: TERM, payload: { kind: "noop" } } as const;
}
