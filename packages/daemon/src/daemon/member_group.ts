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

/** The part of the replica's driver that the group needs. */
export type Driver =
  & replication.LeadershipTransferDriver
  & Pick<
    replication.ReplicationDriver,
    "changeMembership" | "commitIndex" | "hasLease" | "lastIndex" | "propose"
  >;

/** What became of a change of members. */
export type ChangeOutcome =
  | { kind: "done"; index: number }
  /** It can't be made, now or later. */
  | protocol.state.MemberChangeFailure
  /** It can't be made now; the same change may be sent again. */
  | { kind: "postponed"; reason: string };

/** Members of the replicated state; this process is one of them. */
export class MemberGroup implements control.ReplicatedLog {
  readonly #driver: Driver;
  readonly #ask: (address: string) => Promise<protocol.replication.Identity>;

  /** @param ask asks the host at an address which member it is */
  constructor(
    driver: Driver,
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

  get lastIndex(): number {
    return this.#driver.lastIndex;
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

  /**
   * Changes the members, one at a time, and waits until it is done.
   *
   * @param note command that is applied together with the last step
   */
  async change(
    change: protocol.control.MemberChange,
    note: string,
  ): Promise<ChangeOutcome> {
    this.#requireLease();
    try {
      switch (change.kind) {
        case "add":
          return await this.#add(change.address, note);
        case "remove":
          return await this.#remove(change.id, note);
        case "replace":
          return await this.#replace(change.id, change.address, note);
        default:
          return protocol.errors.assertNever(change);
      }
    } catch (error) {
      if (error instanceof replication.ChangeRefused) return refusalOf(error);
      if (error instanceof NoAnswer) return postponed(error.message);
      throw error;
    }
  }

  /**
   * Waits until the voter at an address holds the log up to an index.
   *
   * @throws {fleet.OutcomeUnknown} it does not in time
   */
  async confirm(address: string, index: number): Promise<void> {
    const { voters } = this.#driver.membership;
    const voter = voters.findLast((one) => one.address === address);
    if (voter === undefined) return;
    if (await this.#holds(voter.id, index)) return;
    const message = "the new voter has not caught up in time";
    throw new fleet.OutcomeUnknown("members.confirm", address, message);
  }

  /** Whether another voter took the leadership over in time. */
  async handOver(timeoutMs: number): Promise<boolean> {
    if (this.role !== "leader") return false;
    return await replication.handOverLeadership(this.#driver, timeoutMs);
  }

  async #add(address: string, note: string): Promise<ChangeOutcome> {
    const member = await this.#identify(address);
    if (this.#isVoter(member.id)) {
      return refused(memberRefusal.describeRefusal("alreadyMember"));
    }
    const { index } = await this.#makeVoter(member, note);
    await this.confirm(address, index);
    return { kind: "done", index };
  }

  /** Adds a member as a learner, and lets it vote once it has caught up. */
  async #makeVoter(
    member: core.replication.Member,
    note?: string,
  ): Promise<control.Position> {
    const { id, address } = member;
    if (!this.members().some((one) => one.id === id)) {
      await this.#driver.changeMembership({ kind: "addLearner", member });
      write("learner-added", { id, address });
    }
    const position = await this.#promote(id, note);
    write("voter-added", { id, address });
    return position;
  }

  /** Asks the host at an address, before anything is changed. */
  async #identify(address: string): Promise<core.replication.Member> {
    try {
      return (await this.#ask(address)).member;
    } catch (error) {
      throw new NoAnswer(address, error);
    }
  }

  async #remove(id: string, note: string): Promise<ChangeOutcome> {
    if (!this.members().some((member) => member.id === id)) {
      return { kind: "not-found", reason: `there is no member ${id}` };
    }
    const change = { kind: "remove", id, note } as const;
    const { index } = await this.#driver.changeMembership(change);
    write("removed", { id });
    return { kind: "done", index };
  }

  /** The new member votes and holds the log before the old one leaves. */
  async #replace(
    id: string,
    address: string,
    note: string,
  ): Promise<ChangeOutcome> {
    if (!this.members().some((member) => member.id === id)) {
      return { kind: "not-found", reason: `there is no member ${id}` };
    }
    const member = await this.#identify(address);
    if (member.id === id) return refused("it would replace itself");
    if (!this.#isVoter(member.id)) await this.#makeVoter(member);
    if (!await this.#holds(member.id, this.#driver.commitIndex)) {
      return postponed(memberRefusal.describeRefusal("notCaughtUp"));
    }
    return await this.#remove(id, note);
  }

  #isVoter(id: string): boolean {
    return this.#driver.membership.voters.some((voter) => voter.id === id);
  }

  /** Whether a member comes to hold the log up to an index in time. */
  async #holds(id: string, index: number): Promise<boolean> {
    const until = performance.now() + CATCH_UP_MS;
    while (performance.now() < until) {
      this.#requireLease();
      const progress = this.#driver.progressOf(id);
      if (progress !== null && progress.matchIndex >= index) return true;
      await timers.setTimeout(RETRY_MS);
    }
    return false;
  }

  /** Makes a learner a voter as soon as it has caught up. */
  async #promote(id: string, note?: string): Promise<control.Position> {
    const until = performance.now() + CATCH_UP_MS;
    const noted = note === undefined ? {} : { note };
    const change = { kind: "promote", id, ...noted } as const;
    while (true) {
      try {
        return await this.#driver.changeMembership(change);
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

function refused(reason: string): ChangeOutcome {
  return { kind: "refused", reason };
}

function postponed(reason: string): ChangeOutcome {
  return { kind: "postponed", reason };
}

function refusalOf({ reason }: replication.ChangeRefused): ChangeOutcome {
  const text = memberRefusal.describeRefusal(reason);
  return memberRefusal.isFinal(reason) ? refused(text) : postponed(text);
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
