import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

/** The failure domains that operators have taken out. */
export class FailureDomains {
  readonly #limits: types.Limits;
  readonly #withdrawn: Set<string>;

  constructor(limits: types.Limits, saved: readonly string[] = []) {
    this.#limits = limits;
    this.#withdrawn = new Set(saved);
  }

  list(): string[] {
    return [...this.#withdrawn];
  }

  withdraw(name: string, position: types.LogPosition): types.ApplyResult {
    if (this.#withdrawn.has(name)) {
      return results.quiet(results.done(position.index));
    }
    if (this.#withdrawn.size >= this.#limits.failureDomains) {
      return results.quiet(results.full("too many failure domains are out"));
    }
    this.#withdrawn.add(name);
    return this.#changed(position);
  }

  restore(name: string, position: types.LogPosition): types.ApplyResult {
    if (!this.#withdrawn.delete(name)) {
      return results.quiet(results.notFound(`${name} is not withdrawn`));
    }
    return this.#changed(position);
  }

  #changed(position: types.LogPosition): types.ApplyResult {
    const withdrawn: protocol.state.FleetView["withdrawnFailureDomains"] = this
      .list();
    return {
      result: results.done(position.index),
      changes: [{ kind: "failure-domains", withdrawn }],
    };
  }
}
