/**
 * Finds the leader of the replicated state and calls it.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as protocol from "@ebonypath/protocol";
import * as errors from "./errors.ts";
import type * as rpcClient from "./rpc_client.ts";

/** Pause between rounds over all control hosts, in milliseconds. */
const ROUND_PAUSE_MS = 50;

/** Limits of one call to the leader. */
export interface CallLimits {
  /** Time for one attempt, in milliseconds. */
  readonly attemptMs: number;
  /** Time for all attempts, in milliseconds. */
  readonly totalMs: number;
  /**
   * Whether the call may be sent again when its outcome is not known. True
   * for reads, and for changes that the state machine recognises when they
   * come again.
   */
  readonly retryable: boolean;
}

/**
 * Parameters of a call, or what makes them anew for each attempt: those that
 * tell the age of something.
 */
export type CallParams = object | (() => object);

/** The part of {@link rpcClient.RpcClient} that finding a leader needs. */
export type RpcCaller = Pick<rpcClient.RpcClient, "call">;

/**
 * Calls the leader, following hints and trying other control hosts.
 *
 * @example
 * ```ts
 * const leader = new LeaderClient(client, ["127.0.0.1:7001"]);
 * await leader.call("state.propose", params, LIMITS);
 * ```
 */
export class LeaderClient {
  readonly #caller: RpcCaller;
  readonly #seeds: () => readonly string[];
  #known: string[] = [];
  /** Peers that did not answer in the whole time of an attempt. */
  readonly #silent = new Set<string>();
  #leader: string | null = null;

  /** @param seeds control hosts to begin with, or what tells them anew */
  constructor(
    caller: RpcCaller,
    seeds: readonly string[] | (() => readonly string[]),
  ) {
    this.#caller = caller;
    this.#seeds = typeof seeds === "function" ? seeds : () => seeds;
  }

  /** Fleet address of the last host that answered as leader. */
  get leader(): string | null {
    return this.#leader;
  }

  /** Takes the control hosts that the feed names. */
  setControlHosts(
    hosts: readonly Pick<protocol.control.ControlHost, "address">[],
  ): void {
    this.#known = hosts.map((host) => host.address);
  }

  /** Forgets the leader, for instance when its feed went silent. */
  forgetLeader(address: string): void {
    if (this.#leader === address) this.#leader = null;
  }

  /**
   * Calls `method` at the leader.
   *
   * @throws {errors.OutcomeUnknown} the call may have taken effect
   * @throws {errors.Unreachable} no leader was found in time
   * @throws {errors.RemoteError} the leader answered with an error
   */
  async call(
    method: string,
    params: CallParams,
    limits: CallLimits,
  ): Promise<unknown> {
    const deadline = performance.now() + limits.totalMs;
    let last: Error | undefined;
    while (true) {
      for (const peer of this.#candidates()) {
        const remaining = deadline - performance.now();
        if (remaining <= 0) throw last ?? noLeader(method);
        const attempt = Math.min(limits.attemptMs, remaining);
        try {
          const result = await this.#callFollowing(
            peer,
            method,
            params,
            attempt,
          );
          return result;
        } catch (error) {
          const hadTime = attempt === limits.attemptMs;
          if (hadTime && !hasAnswered(error)) this.#silent.add(peer);
          if (!this.#mayContinue(error, limits)) throw error;
          last = error as Error;
        }
      }
      if (performance.now() + ROUND_PAUSE_MS >= deadline) {
        throw last ?? noLeader(method);
      }
      await timers.setTimeout(ROUND_PAUSE_MS);
    }
  }

  /** Calls `peer`, and once the leader that it names. */
  async #callFollowing(
    peer: string,
    method: string,
    params: CallParams,
    timeoutMs: number,
  ): Promise<unknown> {
    try {
      return await this.#callOne(peer, method, params, timeoutMs);
    } catch (error) {
      if (!(error instanceof errors.NotLeader)) throw error;
      if (error.leader === null || error.leader === peer) throw error;
      return await this.#callOne(error.leader, method, params, timeoutMs);
    }
  }

  async #callOne(
    peer: string,
    method: string,
    params: CallParams,
    timeoutMs: number,
  ): Promise<unknown> {
    try {
      const rendered = typeof params === "function" ? params() : params;
      const result = await this.#caller.call(peer, method, rendered, timeoutMs);
      this.#leader = peer;
      this.#silent.delete(peer);
      return result;
    } catch (error) {
      if (!(error instanceof errors.RemoteError)) this.forgetLeader(peer);
      if (hasAnswered(error)) this.#silent.delete(peer);
      throw error;
    }
  }

  #mayContinue(error: unknown, limits: CallLimits): boolean {
    if (error instanceof errors.NotLeader) return true;
    if (error instanceof errors.Unreachable) return true;
    return error instanceof errors.OutcomeUnknown && limits.retryable;
  }

  /**
   * Silent peers come last: two of them can use up the time of a call, and the
   * next call would begin with them again.
   */
  #candidates(): string[] {
    const first = this.#leader === null ? [] : [this.#leader];
    const all = [...new Set([...first, ...this.#known, ...this.#seeds()])];
    const isSilent = (peer: string) => this.#silent.has(peer);
    return [
      ...all.filter((peer) => !isSilent(peer)),
      ...all.filter(isSilent),
    ];
  }
}

function hasAnswered(error: unknown): boolean {
  return error instanceof errors.NotLeader ||
    error instanceof errors.RemoteError;
}

function noLeader(method: string): Error {
  return new errors.Unreachable(method, "leader", "no leader was found");
}
