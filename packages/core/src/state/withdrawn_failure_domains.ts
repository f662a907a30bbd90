import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

/** Failure domains that operators have withdrawn from service. */
export class WithdrawnFailureDomains {
  readonly #limits: types.Limits;
  readonly #withdrawn: Set<string>;

  constructor(limits: types.Limits, savedNames: readonly string[] = []) {
    this.#limits = limits;
    this.#withdrawn = new Set(savedNames);
  }

  list(): string[] {
    return [...this.#withdrawn];
  }

  withdraw(name: string, position: types.LogPosition): types.ApplyResult {
    if (this.#withdrawn.has(name)) {
      return results.withoutViewChanges(results.done(position.index));
    }
    if (this.#withdrawn.size >= this.#limits.failureDomains) {
      return results.withoutViewChanges(
        results.full("too many failure domains are out"),
      );
    }
    this.#withdrawn.add(name);
    return this.#changed(position);
  }

  restore(name: string, position: types.LogPosition): types.ApplyResult {
    if (!this.#withdrawn.delete(name)) {
      return results.withoutViewChanges(
        results.notFound(`${name} is not withdrawn`),
      );
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
