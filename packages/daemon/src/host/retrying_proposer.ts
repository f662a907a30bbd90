import * as timers from "node:timers/promises";
import type * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";
import type * as proposer from "./proposer.ts";

const write = log.createLog("proposals");

/** Delay before the first retry, in milliseconds. */
const INITIAL_RETRY_DELAY_MS = 100;
/** Maximum delay between retries, in milliseconds. */
const MAX_RETRY_DELAY_MS = 5_000;

/**
 * Retries proposals with exponential backoff until they are committed or the
 * host stops.
 */
export class RetryingProposer {
  readonly #proposer: proposer.Proposer;
  readonly #abort = new AbortController();
  readonly #pending = new Set<Promise<unknown>>();

  constructor(inner: proposer.Proposer) {
    this.#proposer = inner;
  }

  /** Number of proposals that are not committed yet. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /**
   * Proposes a command until it is committed. Resolves with its result, or with
   * undefined if the host stops first.
   */
  send(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult | undefined> {
    const proposal = this.#proposeWithRetries(command);
    this.#pending.add(proposal);
    proposal.finally(() => this.#pending.delete(proposal));
    return proposal;
  }

  /** Waits until all pending proposals end, at most `timeoutMs`. */
  async settle(timeoutMs: number): Promise<void> {
    const timeout = timers.setTimeout(timeoutMs, undefined, { ref: false });
    await Promise.race([Promise.allSettled([...this.#pending]), timeout]);
  }

  [Symbol.dispose](): void {
    this.#abort.abort();
  }

  async #proposeWithRetries(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult | undefined> {
    let delayMs = INITIAL_RETRY_DELAY_MS;
    while (!this.#abort.signal.aborted) {
      try {
        return await this.#proposer.propose(command);
      } catch (error) {
        write("repeated", { command: command.kind, error });
      }
      await timers.setTimeout(delayMs, undefined, {
        signal: this.#abort.signal,
      })
        .catch(() => undefined);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
    return undefined;
  }
}
