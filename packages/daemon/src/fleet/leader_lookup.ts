/**
 * Tells other hosts which control host leads.
 *
 * @module
 */
import * as timers from "node:timers";
import { replication } from "@ebonypath/protocol";
import type * as rpcServer from "./rpc_server.ts";

/** Longest time that a question is held, in milliseconds. */
const MAX_HOLD_MS = 400;
/** Interval at which the leader is looked at while questions wait, in ms. */
const CHECK_INTERVAL_MS = 20;
/** Most questions that wait; more are answered at once. */
const MAX_WAITING = 4_096;

/** What a control host knows of the leader. */
export interface LeadershipStatus {
  /** Fleet address of this control host. */
  readonly address: string;
  /** Whether this host handles the calls of a leader now. */
  isLeading(): boolean;
  /** Fleet address of the leader, if one is known. */
  leaderAddress(): string | null;
}

/** A question that is held until a leader is known. */
interface WaitingQuestion {
  readonly lost: string | null;
  /** Monotonic time at which it is answered in any case, in milliseconds. */
  readonly deadline: number;
  readonly resolve: (response: replication.LeaderResponse) => void;
}

/**
 * Answers questions for the leader. A question is held until there is a leader
 * other than the one that the caller has lost, so that callers need not repeat
 * it during an election.
 *
 * @example
 * ```ts
 * using lookup = new LeaderLookup(status);
 * lookup.register(rpcServer);
 * ```
 */
export class LeaderLookup implements Disposable {
  readonly #status: LeadershipStatus;
  readonly #waiting = new Set<WaitingQuestion>();
  #timer: NodeJS.Timeout | undefined;

  constructor(status: LeadershipStatus) {
    this.#status = status;
  }

  /** Adds the method to the fleet listener. */
  register(rpc: rpcServer.RpcServer): void {
    rpc.addMethod(
      replication.LEADER_METHOD,
      replication.leaderRequestSchema,
      (request) => this.find(request),
    );
  }

  /** Names the leader, or null if none is known in time. */
  async find(
    { lost, waitMs }: replication.LeaderRequest,
  ): Promise<replication.LeaderResponse> {
    const leader = this.#leader();
    const isHeld = waitMs > 0 && this.#waiting.size < MAX_WAITING;
    if (!isHeld || this.#isNews(leader, lost)) return { leader };
    const deadline = performance.now() + Math.min(waitMs, MAX_HOLD_MS);
    return await new Promise((resolve) => {
      this.#waiting.add({ lost, deadline, resolve });
      this.#timer ??= timers.setInterval(
        () => this.#answerWaiting(),
        CHECK_INTERVAL_MS,
      );
    });
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#timer);
    for (const { resolve } of this.#waiting) resolve({ leader: null });
    this.#waiting.clear();
  }

  #leader(): string | null {
    const { address } = this.#status;
    if (this.#status.isLeading()) return address;
    // A host that was elected leads only once it has applied the log.
    const leader = this.#status.leaderAddress();
    return leader === address ? null : leader;
  }

  #isNews(leader: string | null, lost: string | null): boolean {
    return leader !== null &&
      (leader !== lost || leader === this.#status.address);
  }

  #answerWaiting(): void {
    const now = performance.now();
    const leader = this.#leader();
    for (const question of this.#waiting) {
      const { deadline, lost, resolve } = question;
      if (now < deadline && !this.#isNews(leader, lost)) continue;
      this.#waiting.delete(question);
      resolve({ leader });
    }
    if (this.#waiting.size > 0) return;
    timers.clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
