/**
 * Keeps the members of the replicated log in step with the control hosts that
 * there are, without an operator.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import * as replication from "../../replication/mod.ts";

const write = log.createLog("membership");

/** Time between two looks at the members, in milliseconds. */
const INTERVAL_MS = 200;
/** Time for which a request to join counts, in milliseconds. */
const JOIN_LIFETIME_MS = 5_000;

/** The part of the replica's driver that the membership needs. */
export type MembershipDriver = Pick<
  replication.ReplicationDriver,
  "self" | "membership" | "hasLease" | "progressOf" | "changeMembership"
>;

/** Adds control hosts that ask to join and removes those that are gone. */
export class MembershipManager implements Disposable {
  readonly #driver: MembershipDriver;
  readonly #leastVoters: number;
  readonly #interval: NodeJS.Timeout;
  readonly #joining = new Map<string, { address: string; at: number }>();
  #isChanging = false;

  /** @param leastVoters voters below which no silent one is removed */
  constructor(driver: MembershipDriver, leastVoters: number) {
    this.#driver = driver;
    this.#leastVoters = leastVoters;
    this.#interval = timers.setInterval(() => this.#look(), INTERVAL_MS);
  }

  /** Notes that a control host wants to be a member. */
  recordJoinRequest({ address, id }: gateway.JoinRequest): void {
    this.#joining.set(id, { address, at: performance.now() });
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
  }

  #look(): void {
    if (this.#isChanging || !this.#driver.hasLease()) return;
    const change = core.gateway.nextMembershipChange({
      membership: this.#driver.membership,
      joining: this.#joiners(),
      silenceMs: (id) => this.#driver.progressOf(id)?.silenceMs ?? Infinity,
      self: this.#driver.self.id,
      minVoters: this.#leastVoters,
    });
    if (change !== undefined) void this.#change(change);
  }

  async #change(change: core.replication.MembershipChange): Promise<void> {
    this.#isChanging = true;
    try {
      await this.#driver.changeMembership(change);
      const id = change.kind === "addLearner" ? change.member.id : change.id;
      write("changed", { change: change.kind, id });
    } catch (error) {
      const isExpected = error instanceof replication.ChangeRefused &&
        (error.reason === "notCaughtUp" || error.reason === "changePending");
      if (!isExpected) write("not-changed", { change: change.kind, error });
    } finally {
      this.#isChanging = false;
    }
  }

  #joiners(): core.replication.Member[] {
    const now = performance.now();
    for (const [id, { at }] of this.#joining) {
      if (now - at > JOIN_LIFETIME_MS) this.#joining.delete(id);
    }
    return [...this.#joining].map(([id, { address }]) => ({ id, address }));
  }
}
