/**
 * Client that locates the leader of the replicated state and calls it.
 *
 * @module
 */
import type * as protocol from "@ebonypath/protocol";
import * as errors from "./errors.ts";
import * as leaderSearch from "./leader_search.ts";
import type * as rpcClient from "./rpc_client.ts";

/** Time left of a call for which no other attempt is begun, in milliseconds. */
const MIN_ATTEMPT_MS = 5;

/** Timeouts and retry policy of one call to the leader. */
export interface CallLimits {
  /** Timeout of one attempt, in milliseconds. */
  readonly attemptMs: number;
  /** Timeout over all attempts, in milliseconds. */
  readonly totalMs: number;
  /**
   * Whether the call may be retried when its outcome is unknown. True for
   * reads, and for commands whose duplicates the state machine detects.
   */
  readonly retryable: boolean;
}

/**
 * Parameters of a call, or a function that creates them for each attempt.
 * Parameters that contain an age need the function, so that a retry does not
 * send an outdated age.
 */
export type CallParams = object | (() => object);

/** The part of {@link rpcClient.RpcClient} that {@link LeaderClient} uses. */
export type RpcCaller = Pick<rpcClient.RpcClient, "call">;

/** A call that waits for the response of a peer, and may be sent to another. */
interface OpenCall {
  readonly peer: string;
  /** Monotonic time at which the wait ends, in milliseconds. */
  readonly deadline: number;
  readonly cancellation: AbortController;
}

/**
 * Calls the leader. While none is known all calls wait for one search, and send
 * nothing themselves.
 *
 * @example
 * ```ts
 * const leader = new LeaderClient(client, ["127.0.0.1:7001"]);
 * await leader.call("state.propose", params, LIMITS);
 * ```
 */
export class LeaderClient {
  readonly #rpc: RpcCaller;
  readonly #seeds: () => readonly string[];
  /** Addresses of the control hosts from the feed. */
  #controlHosts: string[] = [];
  readonly #openCalls = new Set<OpenCall>();
  readonly #search: leaderSearch.LeaderSearch;

  /**
   * @param seeds addresses of the initial control hosts, or a function that
   * returns the current ones
   */
  constructor(
    rpc: RpcCaller,
    seeds: readonly string[] | (() => readonly string[]),
  ) {
    this.#rpc = rpc;
    this.#seeds = typeof seeds === "function" ? seeds : () => seeds;
    this.#search = new leaderSearch.LeaderSearch({
      peers: () => this.controlHosts,
      call: (peer, method, params, timeoutMs) =>
        this.#rpc.call(peer, method, params, timeoutMs),
      onFound: (leader) => this.#cancelCallsToOthers(leader),
    });
  }

  /** Fleet address of the leader, if known. */
  get leader(): string | null {
    return this.#search.leader;
  }

  /** Fleet addresses of the control hosts that are known. */
  get controlHosts(): string[] {
    return [...new Set([...this.#controlHosts, ...this.#seeds()])];
  }

  /** Replaces the control hosts learned from the feed. */
  setControlHosts(
    hosts: readonly Pick<protocol.control.ControlHost, "address">[],
  ): void {
    this.#controlHosts = hosts.map((host) => host.address);
  }

  /** Sets the leader that is called first, as learned from elsewhere. */
  setLeader(address: string): void {
    this.#search.found(address);
  }

  /**
   * Clears the known leader if it is at `address`, for instance after its feed
   * connection was lost.
   */
  forgetLeader(address: string): void {
    this.#search.lose(address);
  }

  /**
   * Calls `method` on the leader.
   *
   * @throws {errors.OutcomeUnknown} the call may have taken effect
   * @throws {errors.Unreachable} no leader was found before the timeout
   * @throws {errors.RemoteError} the called host returned an error
   */
  async call(
    method: string,
    params: CallParams,
    limits: CallLimits,
  ): Promise<unknown> {
    const deadline = performance.now() + limits.totalMs;
    let lastError: unknown;
    const remainingMs = () => deadline - performance.now();
    while (remainingMs() >= MIN_ATTEMPT_MS) {
      const leader = await this.#search.find(remainingMs());
      if (leader === null) break;
      try {
        const attemptMs = Math.min(
          limits.attemptMs,
          Math.max(MIN_ATTEMPT_MS, remainingMs()),
        );
        return await this.#callOne(leader, method, params, attemptMs, limits);
      } catch (error) {
        if (!this.#canRetry(error, limits)) throw error;
        lastError = error;
      }
    }
    throw lastError ?? new errors.Unreachable(
      method,
      "leader",
      "no leader found",
      this.#search.lastError,
    );
  }

  async #callOne(
    peer: string,
    method: string,
    params: CallParams,
    timeoutMs: number,
    { retryable }: CallLimits,
  ): Promise<unknown> {
    const cancellation = new AbortController();
    const deadline = performance.now() + timeoutMs;
    const call: OpenCall = { peer, deadline, cancellation };
    // Another host may be asked only if it does no harm that both act.
    if (retryable) this.#openCalls.add(call);
    try {
      const resolved = typeof params === "function" ? params() : params;
      const result = await this.#rpc.call(
        peer,
        method,
        resolved,
        timeoutMs,
        cancellation.signal,
      );
      this.#search.confirm(peer);
      return result;
    } catch (error) {
      this.#openCalls.delete(call);
      if (!(error instanceof errors.RemoteError)) {
        const isAnswered = error instanceof errors.NotLeader;
        this.#search.lose(peer, isAnswered ? error.leader ?? peer : null);
        this.#searchForOpenCalls();
      }
      throw error;
    } finally {
      this.#openCalls.delete(call);
    }
  }

  /** Other calls may still wait at the leader that was given up. */
  #searchForOpenCalls(): void {
    const deadlines = [...this.#openCalls].map(({ deadline }) => deadline);
    const remainingMs = Math.max(...deadlines, 0) - performance.now();
    if (remainingMs > 0) void this.#search.find(remainingMs);
  }

  #cancelCallsToOthers(leader: string): void {
    for (const { cancellation, peer } of this.#openCalls) {
      if (peer !== leader) cancellation.abort();
    }
  }

  #canRetry(error: unknown, limits: CallLimits): boolean {
    if (error instanceof errors.NotLeader) return true;
    if (error instanceof errors.Unreachable) return true;
    return error instanceof errors.OutcomeUnknown && limits.retryable;
  }
}
