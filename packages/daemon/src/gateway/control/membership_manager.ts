/**
 * Adapts the membership of the replicated log to the running control hosts,
 * without an operator.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import * as replication from "../../replication/mod.ts";

const write = log.createLog("membership");

/** Interval of the membership checks, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Time for which a join request is valid, in milliseconds. */
const JOIN_REQUEST_LIFETIME_MS = 5_000;

/** Part of the replication driver that the membership manager uses. */
export type MembershipDriver = Pick<
  replication.ReplicationDriver,
  "self" | "membership" | "hasLease" | "progressOf" | "changeMembership"
>;

/** Adds control hosts that ask to join and removes those that are lost. */
export class MembershipManager implements Disposable {
  readonly #driver: MembershipDriver;
  readonly #minVoters: number;
  readonly #interval: NodeJS.Timeout;
  readonly #joinRequests = new Map<string, { address: string; at: number }>();
  #isChanging = false;

  /** @param minVoters number at or below which no silent voter is removed */
  constructor(driver: MembershipDriver, minVoters: number) {
    this.#driver = driver;
    this.#minVoters = minVoters;
    this.#interval = timers.setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  /** Records the join request of a control host. */
  recordJoinRequest({ address, id }: gateway.JoinRequest): void {
    this.#joinRequests.set(id, { address, at: performance.now() });
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
  }

  #check(): void {
    if (this.#isChanging || !this.#driver.hasLease()) return;
    const change = core.gateway.nextMembershipChange({
      membership: this.#driver.membership,
      joining: this.#joiningHosts(),
      silenceMs: (id) => this.#driver.progressOf(id)?.silenceMs ?? Infinity,
      self: this.#driver.self.id,
      minVoters: this.#minVoters,
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

  #joiningHosts(): core.replication.Member[] {
    const now = performance.now();
    for (const [id, { at }] of this.#joinRequests) {
      if (now - at > JOIN_REQUEST_LIFETIME_MS) this.#joinRequests.delete(id);
    }
    return [...this.#joinRequests].map(([id, { address }]) => ({
      id,
      address,
    }));
  }
}
