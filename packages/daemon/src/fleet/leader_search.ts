/**
 * Search for the leader among the control hosts.
 *
 * @module
 */
import * as timers from "node:timers";
import * as timersPromises from "node:timers/promises";
import { replication } from "@ebonypath/protocol";
import * as jsonRpc from "json-rpc-2.0";
import * as v from "valibot";
import * as errors from "./errors.ts";

/** Shortest time between two questions, in milliseconds. */
const MIN_INTERVAL_MS = 50;
/** Longest time between two questions, in milliseconds, without jitter. */
const MAX_INTERVAL_MS = 400;
/** Part of an interval by which it varies, in either direction. */
const JITTER = 0.25;
/**
 * Time beyond its hold after which a question without an answer is asked of the
 * next control host as well, in milliseconds.
 */
const HEDGE_MS = 150;
/** Time beyond its hold after which a question is given up, in milliseconds. */
const ASK_TIMEOUT_MS = 600;

/** Dependencies of a {@link LeaderSearch}. */
export interface LeaderSearchOptions {
  /** Addresses of the control hosts, in the order in which they are asked. */
  peers(): readonly string[];
  /** Calls a method of a control host. */
  call(
    peer: string,
    method: string,
    params: replication.LeaderRequest,
    timeoutMs: number,
  ): Promise<unknown>;
  /** Called when another control host is known to lead. */
  onFound(leader: string): void;
}

/**
 * Knows the leader, and searches for it while callers wait. However many wait,
 * one control host is asked at a time, and the next one after an interval that
 * grows while nobody leads.
 *
 * @example
 * ```ts
 * const leader = await search.find(timeoutMs);
 * ```
 */
export class LeaderSearch {
  readonly #options: LeaderSearchOptions;
  readonly #waiting = new Set<(leader: string) => void>();
  /** Peers that have not answered the last question; they are asked last. */
  readonly #silent = new Set<string>();
  /** Peers that are to be asked in this round. */
  #round: string[] = [];
  /** Peer that is asked before the others. */
  #preferred: string | null = null;
  #leader: string | null = null;
  /** Leader that was given up last. */
  #lost: string | null = null;
  /** Questions since a call to a leader succeeded. */
  #attempts = 0;
  /** Monotonic time before which no question is asked, in milliseconds. */
  #nextAskAt = -Infinity;
  #isRunning = false;
  #lastError: unknown;

  constructor(options: LeaderSearchOptions) {
    this.#options = options;
  }

  get leader(): string | null {
    return this.#leader;
  }

  /** Why the last question was not answered, if it was not. */
  get lastError(): unknown {
    return this.#lastError;
  }

  /** Resolves with the leader, or with null after a time in milliseconds. */
  find(timeoutMs: number): Promise<string | null> {
    if (this.#leader !== null) return Promise.resolve(this.#leader);
    return new Promise((resolve) => {
      const finish = (leader: string | null) => {
        timers.clearTimeout(timer);
        this.#waiting.delete(finish);
        resolve(leader);
      };
      const timer = timers.setTimeout(() => finish(null), timeoutMs);
      this.#waiting.add(finish);
      void this.#run();
    });
  }

  /** Sets the leader, as learned from elsewhere. */
  found(leader: string): void {
    if (this.#leader === leader) return;
    this.#leader = leader;
    this.#options.onFound(leader);
    for (const finish of [...this.#waiting]) finish(leader);
  }

  /** Records that a peer has handled a call as the leader. */
  confirm(peer: string): void {
    this.#silent.delete(peer);
    this.#lost = null;
    this.#attempts = 0;
    this.#nextAskAt = -Infinity;
    if (this.#leader === null) this.found(peer);
  }

  /**
   * Gives a leader up, unless another one is known by now.
   *
   * @param next peer that is asked first: it may know the leader, or lead soon
   */
  lose(leader: string, next: string | null = null): void {
    if (this.#leader !== leader) return;
    this.#leader = null;
    this.#lost = leader;
    this.#preferred = next;
    // Its successor is more likely among the others.
    const others = this.#newRound().filter((peer) => peer !== leader);
    const isSilent = (peer: string) => this.#silent.has(peer);
    this.#round = [
      ...others.filter((peer) => !isSilent(peer)),
      leader,
      ...others.filter(isSilent),
    ];
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    while (this.#waiting.size > 0) {
      const delayMs = this.#nextAskAt - performance.now();
      if (delayMs > 0) {
        await this.#sleep(delayMs);
        continue;
      }
      const peer = this.#nextPeer();
      // Without control hosts there is nobody to ask yet.
      const intervalMs = this.#nextIntervalMs();
      this.#nextAskAt = performance.now() + intervalMs;
      if (peer === undefined) continue;
      const waitMs = Math.min(intervalMs, MAX_INTERVAL_MS);
      const isAnswered = await Promise.race([
        this.#ask(peer, waitMs).then(() => true),
        this.#sleep(waitMs + HEDGE_MS),
      ]);
      if (isAnswered !== true) this.#silent.add(peer);
    }
    this.#isRunning = false;
  }

  #sleep(ms: number): Promise<void> {
    // Callers that wait have timers of their own.
    return timersPromises.setTimeout(ms, undefined, { ref: false });
  }

  #nextIntervalMs(): number {
    const growth = 2 ** Math.min(this.#attempts, 10);
    this.#attempts += 1;
    const jitter = 1 + JITTER * (2 * Math.random() - 1);
    return jitter * Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * growth);
  }

  #nextPeer(): string | undefined {
    if (this.#round.length === 0) this.#round = this.#newRound();
    const preferred = this.#preferred;
    this.#preferred = null;
    if (preferred === null) return this.#round.shift();
    this.#round = this.#round.filter((peer) => peer !== preferred);
    return preferred;
  }

  #newRound(): string[] {
    const peers = this.#options.peers();
    return [
      ...peers.filter((peer) => !this.#silent.has(peer)),
      ...peers.filter((peer) => this.#silent.has(peer)),
    ];
  }

  async #ask(peer: string, waitMs: number): Promise<void> {
    const lost = this.#lost;
    try {
      const answer = await this.#options.call(
        peer,
        replication.LEADER_METHOD,
        { lost, waitMs },
        waitMs + ASK_TIMEOUT_MS,
      );
      this.#silent.delete(peer);
      const response = v.parse(replication.leaderResponseSchema, answer);
      this.#onNamed(peer, response.leader);
    } catch (error) {
      this.#onFailed(peer, error);
    }
  }

  #onFailed(peer: string, error: unknown): void {
    this.#lastError = error;
    if (error instanceof errors.NotLeader) {
      this.#silent.delete(peer);
      this.#onNamed(peer, error.leader);
    } else if (!(error instanceof errors.RemoteError)) {
      this.#silent.add(peer);
    } else if (error.code === jsonRpc.JSONRPCErrorCode.MethodNotFound) {
      // Only a call tells whether a host of an earlier release leads.
      this.#silent.delete(peer);
      if (this.#leader === null) this.found(peer);
    }
  }

  /** @param leader the leader as named by a peer */
  #onNamed(peer: string, leader: string | null): void {
    if (leader === null || this.#leader !== null) return;
    const isDoubtful = leader === this.#lost || this.#silent.has(leader);
    if (!isDoubtful || leader === peer) {
      this.found(leader);
    } else if (!this.#silent.has(leader)) {
      this.#preferred = leader;
    } else if (!this.#round.includes(leader)) {
      // It may be a control host that only the peer knows.
      this.#round.push(leader);
    }
  }
}
