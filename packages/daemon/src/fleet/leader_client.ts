/**
 * Client that locates the leader of the replicated state and calls it.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as protocol from "@ebonypath/protocol";
import * as errors from "./errors.ts";
import type * as rpcClient from "./rpc_client.ts";

/** Delay before all control hosts are tried again, in milliseconds. */
const ROUND_DELAY_MS = 50;
/**
 * Fraction of an attempt's timeout after which a peer without an answer counts
 * as unresponsive. What is left of a call may be too short for any answer.
 */
const UNRESPONSIVE_FRACTION = 0.5;

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

/** A call and the monotonic time by which it ends, in milliseconds. */
interface Attempt {
  readonly method: string;
  readonly params: CallParams;
  readonly limits: CallLimits;
  readonly deadline: number;
}

/** The part of {@link rpcClient.RpcClient} that {@link LeaderClient} uses. */
export type RpcCaller = Pick<rpcClient.RpcClient, "call">;

/**
 * Calls the leader. Tries the control hosts in turn and follows the leader
 * address that a host returns with {@link errors.NotLeader}.
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
  /** Peers that did not answer the last attempt. */
  readonly #unresponsive = new Set<string>();
  #leader: string | null = null;

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
  }

  /** Fleet address of the last host that answered as leader, if known. */
  get leader(): string | null {
    return this.#leader;
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
    this.#leader = address;
  }

  /**
   * Clears the known leader if it is at `address`, for instance after its feed
   * connection was lost.
   */
  forgetLeader(address: string): void {
    if (this.#leader === address) this.#leader = null;
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
    let lastError: Error | undefined;
    while (true) {
      const peers = this.#orderedPeers();
      // An unresponsive leader that a peer names is appended during the loop.
      for (const peer of peers) {
        if (performance.now() >= deadline) {
          throw lastError ?? noLeaderError(method);
        }
        try {
          const attempt = { method, params, limits, deadline };
          return await this.#callWithRedirect(peer, attempt);
        } catch (error) {
          if (!this.#canRetry(error, limits)) throw error;
          lastError = error as Error;
          const leader = error instanceof errors.NotLeader
            ? error.leader
            : null;
          if (leader !== null && !peers.includes(leader)) peers.push(leader);
        }
      }
      if (performance.now() + ROUND_DELAY_MS >= deadline) {
        throw lastError ?? noLeaderError(method);
      }
      await timers.setTimeout(ROUND_DELAY_MS);
    }
  }

  /**
   * Calls `peer` and follows at most one redirect to the leader. A peer may name
   * a leader that has just been lost, so an unresponsive one is not called.
   */
  async #callWithRedirect(peer: string, attempt: Attempt): Promise<unknown> {
    try {
      return await this.#callOne(peer, attempt);
    } catch (error) {
      if (!(error instanceof errors.NotLeader)) throw error;
      const { leader } = error;
      if (leader === null || leader === peer) throw error;
      if (this.#unresponsive.has(leader)) throw error;
      return await this.#callOne(leader, attempt);
    }
  }

  async #callOne(
    peer: string,
    { deadline, limits, method, params }: Attempt,
  ): Promise<unknown> {
    const remainingMs = Math.max(1, deadline - performance.now());
    const timeoutMs = Math.min(limits.attemptMs, remainingMs);
    try {
      const resolved = typeof params === "function" ? params() : params;
      const result = await this.#rpc.call(peer, method, resolved, timeoutMs);
      this.#leader = peer;
      this.#unresponsive.delete(peer);
      return result;
    } catch (error) {
      if (!(error instanceof errors.RemoteError)) this.forgetLeader(peer);
      if (isPeerResponse(error)) {
        this.#unresponsive.delete(peer);
      } else if (timeoutMs >= limits.attemptMs * UNRESPONSIVE_FRACTION) {
        this.#unresponsive.add(peer);
      }
      throw error;
    }
  }

  #canRetry(error: unknown, limits: CallLimits): boolean {
    if (error instanceof errors.NotLeader) return true;
    if (error instanceof errors.Unreachable) return true;
    return error instanceof errors.OutcomeUnknown && limits.retryable;
  }

  /**
   * Returns the peers in the order in which they are tried. Unresponsive peers
   * come last: two of them can use up the whole timeout of a call, and the next
   * call would start with the same two again.
   */
  #orderedPeers(): string[] {
    const first = this.#leader === null ? [] : [this.#leader];
    const all = [...new Set([...first, ...this.controlHosts])];
    const isUnresponsive = (peer: string) => this.#unresponsive.has(peer);
    return [
      ...all.filter((peer) => !isUnresponsive(peer)),
      ...all.filter(isUnresponsive),
    ];
  }
}

function isPeerResponse(error: unknown): boolean {
  return error instanceof errors.NotLeader ||
    error instanceof errors.RemoteError;
}

function noLeaderError(method: string): Error {
  return new errors.Unreachable(method, "leader", "no leader found");
}
