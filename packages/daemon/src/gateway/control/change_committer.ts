/**
 * Commits changes that are meant for a known state.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";

const write = log.createLog("change");

/** Dependencies of a {@link ChangeCommitter}. */
export interface ChangeCommitterOptions {
  /** The state with all changes that have been committed so far. */
  state(): core.gateway.GatewayState;
  /**
   * Commits a command to the replicated state; resolves when it is applied.
   *
   * @throws {Error} the command may not be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
}

/**
 * Commits a change only if the state is the one that it was meant for. Changes
 * are committed one after the other: while one is under way the state can't be
 * told. Those of earlier leaders are applied before a leader begins.
 *
 * @example
 * ```ts
 * const answer = await committer.commit({ change, basis: 41 });
 * if (answer.kind === "superseded") retryFrom(answer.revision);
 * ```
 */
export class ChangeCommitter {
  readonly #options: ChangeCommitterOptions;
  #previous: Promise<unknown> = Promise.resolve();

  constructor(options: ChangeCommitterOptions) {
    this.#options = options;
  }

  /** @throws {Error} the change may or may not be committed */
  commit(request: gateway.ChangeRequest): Promise<gateway.ChangeResponse> {
    const result = this.#previous.then(() => this.#commitNext(request));
    // Its failure is its caller's; the next change is judged by the state.
    this.#previous = result.catch(() => undefined);
    return result;
  }

  async #commitNext(
    { basis, change }: gateway.ChangeRequest,
  ): Promise<gateway.ChangeResponse> {
    const { commit, state } = this.#options;
    const revision = state().revisionFor(change);
    if (basis !== revision) {
      write("superseded", { ...change, basis, revision });
      return { kind: "superseded", revision };
    }
    await commit(change);
    return { kind: "committed" };
  }
}
