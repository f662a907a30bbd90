import { expect } from "chai";
import type * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

/** Sends requests at some hosts, one after another, until it is stopped. */
export class Traffic {
  readonly replies: caller.Reply[] = [];
  readonly errors: Error[] = [];
  #isStopped = false;
  readonly #loops: Promise<void>[];

  /** @param options of each call, for instance its tier */
  constructor(
    scenario: scenarios.Scenario,
    hosts: readonly number[],
    options: caller.CallOptions = {},
  ) {
    this.#loops = hosts.map((host) => this.#run(scenario, host, options));
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  /** Checks that no caller got an error or no answer. */
  expectAllServed(): void {
    const failed = this.replies.filter((reply) => reply.status !== 200);
    expect(failed.map((reply) => reply.text)).to.deep.equal([]);
    expect(this.errors).to.deep.equal([]);
  }

  async #run(
    scenario: scenarios.Scenario,
    host: number,
    options: caller.CallOptions,
  ): Promise<void> {
    const asked = scenario.caller(host);
    for (let number = 0; !this.#isStopped; number += 1) {
      try {
        const text = `h${host}n${number}`;
        const reply = await asked.chat(scenarios.MODEL, text, {}, options);
        this.replies.push(reply);
      } catch (error) {
        this.errors.push(error as Error);
      }
    }
  }
}
