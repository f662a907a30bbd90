import * as timers from "node:timers/promises";
import type * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import type * as proposer from "./proposer.ts";

const write = log.createLog("proposals");

/** First pause before a proposal is sent again, in milliseconds. */
const FIRST_PAUSE_MS = 100;
/** Longest pause before a proposal is sent again, in milliseconds. */
const LONGEST_PAUSE_MS = 5_000;

/**
 * Proposals that this host owes the state: they are repeated until the state
 * has them, or the host stops.
 */
export class RetryingProposer {
  readonly #proposer: proposer.Proposer;
  readonly #stop = new AbortController();
  readonly #open = new Set<Promise<unknown>>();

  constructor(inner: proposer.Proposer) {
    this.#proposer = inner;
  }

  /** Proposals that have not been committed yet. */
  get pendingCount(): number {
    return this.#open.size;
  }

  /** Proposes until the command is committed; resolves with its result. */
  send(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult | undefined> {
    const sent = this.#repeat(command);
    this.#open.add(sent);
    sent.finally(() => this.#open.delete(sent));
    return sent;
  }

  /** Waits for all proposals, at most `timeoutMs`. */
  async settle(timeoutMs: number): Promise<void> {
    const timeout = timers.setTimeout(timeoutMs, undefined, { ref: false });
    await Promise.race([Promise.allSettled([...this.#open]), timeout]);
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  async #repeat(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult | undefined> {
    let pause = FIRST_PAUSE_MS;
    while (!this.#stop.signal.aborted) {
      try {
        return await this.#proposer.propose(command);
      } catch (error) {
        write("repeated", {
          command: command.kind,
          error,
        });
      }
      await timers.setTimeout(pause, undefined, { signal: this.#stop.signal })
        .catch(() => undefined);
      pause = Math.min(pause * 2, LONGEST_PAUSE_MS);
    }
    return undefined;
  }
}
