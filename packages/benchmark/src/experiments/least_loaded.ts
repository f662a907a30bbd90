import type { fakeBackend } from "@ebonypath/testing";
import * as harness from "../harness/mod.ts";

const ORDER_TIMEOUT_MS = 30_000;
const MODEL_BYTES = 4 * 10 ** 9;

/**
 * Baseline: loads a cold model on the server with the fewest models, wherever
 * its weights are, and has no hop between the caller and the server.
 */
export class LeastLoaded {
  readonly #fakes: readonly fakeBackend.FakeBackend[];
  readonly #callers: readonly harness.Caller[];
  readonly #counts: number[];
  #fence = 0;

  constructor(fakes: readonly fakeBackend.FakeBackend[]) {
    this.#fakes = fakes;
    this.#counts = fakes.map(() => 0);
    this.#callers = fakes.map(({ address }) =>
      new harness.Caller(address, "unused")
    );
  }

  async chat(model: string): Promise<harness.Answer> {
    const index = this.#counts.indexOf(Math.min(...this.#counts));
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#fence += 1;
    const caller = this.#callers[index] as harness.Caller;
    const body = {
      kind: "load",
      fence: this.#fence,
      incarnation: this.#fakes[index]?.incarnation,
      timeoutMs: ORDER_TIMEOUT_MS,
      model,
      version: "1",
      bytes: MODEL_BYTES,
    };
    const loaded = await caller.send("/orders", { body });
    return loaded.status === 200 ? await caller.chat(model, 1) : loaded;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const caller of this.#callers) await caller[Symbol.asyncDispose]();
  }
}
