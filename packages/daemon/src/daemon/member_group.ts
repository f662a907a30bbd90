/**
 * The group of members that replicate the state, as its leader changes it.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as control from "../control/mod.ts";
import * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import * as replication from "../replication/mod.ts";
import * as memberRefusal from "./member_refusal.ts";

const write = log.createLog("members");

/** Time for a new member to catch up before it votes, in milliseconds. */
const CATCH_UP_MS = 25_000;
/** Pause between two tries of a change, in milliseconds. */
const RETRY_MS = 100;

type Result = protocol.operators.MemberChangeResult;

/** Members of the replicated state; this process is one of them. */
export class MemberGroup implements control.ReplicatedLog {
  readonly #driver: replication.ReplicationDriver;
  readonly #ask: (address: string) => Promise<protocol.replication.Identity>;

  /** @param ask asks the host at an address which member it is */
  constructor(
    driver: replication.ReplicationDriver,
    ask: (address: string) => Promise<protocol.replication.Identity>,
  ) {
    this.#driver = driver;
    this.#ask = ask;
  }

  get role(): string {
    return this.#driver.status.role;
  }

  get term(): number {
    return this.#driver.status.term;
  }

  get leaderAddress(): string | null {
    return this.#driver.status.leader?.address ?? null;
  }

  hasLease(): boolean {
    return this.#driver.hasLease();
  }

  members(): protocol.control.ControlHost[] {
    return core.replication.allMembers(this.#driver.membership)
      .map(({ id, address }) => ({ id, address }));
  }

  propose(data: string): Promise<control.Position> {
    return this.#driver.propose(data);
  }

  status(): protocol.operators.Members {
    const { membership, status, commitIndex } = this.#driver;
    const { voters, learners } = membership;
    const member = (one: core.replication.Member, role: "voter" | "learner") =>
      this.#describe(one, role);
    const members = [
      ...voters.map((one) => member(one, "voter")),
      ...learners.map((one) => member(one, "learner")),
    ];
    return {
      term: status.term,
      commitIndex,
      members,
      mayLose: mayLose(
        members,
        core.replication.quorumSize(membership),
        commitIndex,
      ),
    };
  }

  /** Changes the members, one at a time, and waits until it is done. */
  async change(change: protocol.control.MemberChange): Promise<Result> {
    this.#requireLease();
    try {
      switch (change.kind) {
        case "add":
          return await this.#add(change.address);
        case "remove":
          return await this.#remove(change.id);
        case "replace":
          return await this.#replace(change.id, change.address);
        default:
          return protocol.errors.assertNever(change);
      }
    } catch (error) {
      if (error instanceof replication.ChangeRefused) {
        return refused(memberRefusal.describeRefusal(error.reason));
      }
      if (error instanceof NoAnswer) return refused(error.message);
      throw error;
    }
  }

  /** Whether another voter took the leadership over in time. */
  async handOver(timeoutMs: number): Promise<boolean> {
    const { membership, self } = this.#driver;
    const others = membership.voters.filter((voter) => voter.id !== self.id);
    const [next] = others
      .map((voter) => ({ voter, progress: this.#driver.progressOf(voter.id) }))
      .sort((left, right) =>
        (right.progress?.matchIndex ?? -1) - (left.progress?.matchIndex ?? -1)
      );
    if (this.role !== "leader" || next === undefined) return false;
    this.#driver.transferLeadership(next.voter.id);
    const until = performance.now() + timeoutMs;
    while (this.role === "leader" && performance.now() < until) {
      await timers.setTimeout(RETRY_MS);
    }
    return this.role !== "leader";
  }

  async #add(address: string): Promise<Result> {
    const member = await this.#identify(address);
    const { membership } = this.#driver;
    const isVoter = membership.voters.some(({ id }) => id === member.id);
    const isLearner = membership.learners.some(({ id }) => id === member.id);
    if (!isVoter && !isLearner) {
      await this.#driver.changeMembership({ kind: "addLearner", member });
      write("learner-added", { id: member.id, address });
    }
    if (isVoter) return refused(memberRefusal.describeRefusal("alreadyMember"));
    const { index } = await this.#promote(member.id);
    write("voter-added", { id: member.id, address });
    return { kind: "done", index };
  }

  /** Asks the host at an address, before anything is changed. */
  async #identify(address: string): Promise<core.replication.Member> {
    try {
      return (await this.#ask(address)).member;
    } catch (error) {
      throw new NoAnswer(address, error);
    }
  }

  async #remove(id: string): Promise<Result> {
    if (!this.members().some((member) => member.id === id)) {
      return { kind: "not-found", reason: `there is no member ${id}` };
    }
    const { index } = await this.#driver.changeMembership({
      kind: "remove",
      id,
    });
    write("removed", { id });
    return { kind: "done", index };
  }

  /** The new member votes before the old one leaves. */
  async #replace(id: string, address: string): Promise<Result> {
    if (!this.members().some((member) => member.id === id)) {
      return { kind: "not-found", reason: `there is no member ${id}` };
    }
    const member = await this.#identify(address);
    if (member.id === id) return refused("it would replace itself");
    const { voters } = this.#driver.membership;
    if (!voters.some((voter) => voter.id === member.id)) {
      await this.#add(address);
    }
    return await this.#remove(id);
  }

  /** Makes a learner a voter as soon as it has caught up. */
  async #promote(id: string): Promise<control.Position> {
    const until = performance.now() + CATCH_UP_MS;
    while (true) {
      try {
        return await this.#driver.changeMembership({ kind: "promote", id });
      } catch (error) {
        const mayRetry = error instanceof replication.ChangeRefused &&
          (error.reason === "notCaughtUp" || error.reason === "changePending");
        if (!mayRetry || performance.now() > until) throw error;
      }
      await timers.setTimeout(RETRY_MS);
    }
  }

  #describe(
    member: core.replication.Member,
    role: "voter" | "learner",
  ): protocol.operators.Member {
    const progress = this.#driver.progressOf(member.id);
    return {
      id: member.id,
      address: member.address,
      role,
      leads: member.id === this.#driver.self.id,
      matchIndex: progress?.matchIndex ?? 0,
      silentMs: progress?.silenceMs ?? null,
    };
  }

  #requireLease(): void {
    if (this.hasLease()) return;
    const { id } = this.#driver.self;
    throw new fleet.NotLeader("change-members", id, this.leaderAddress);
  }
}

/** The host that is to become a member does not say who it is. */
class NoAnswer extends protocol.errors.StepError {
  override readonly name = "NoAnswer";

  constructor(address: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super("members.identify", address, `no control host answers: ${reason}`);
  }
}

function refused(reason: string): Result {
  return { kind: "refused", reason };
}

/** A voter silent for longer counts as lost, in milliseconds. */
const LOST_AFTER_MS = 2_000;

/** Voters that may still be lost before changes stop. */
function mayLose(
  members: readonly protocol.operators.Member[],
  quorum: number,
  commitIndex: number,
): number {
  const voters = members.filter((member) => member.role === "voter");
  const sound = voters.filter((voter) =>
    voter.silentMs !== null && voter.silentMs < LOST_AFTER_MS &&
    voter.matchIndex >= commitIndex
  );
  return Math.max(0, sound.length - quorum);
}
