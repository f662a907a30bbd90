import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Quarantine = protocol.state.Quarantine;
type ViewChange = protocol.state.ViewChange;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** Fingerprints of requests that crashed backend servers. */
export class Quarantines {
  readonly #limits: types.Limits;
  readonly #byFingerprint = new Map<string, Quarantine>();

  constructor(
    limits: types.Limits,
    savedQuarantines: readonly Quarantine[] = [],
  ) {
    this.#limits = limits;
    for (const item of savedQuarantines) {
      this.#byFingerprint.set(item.fingerprint, item);
    }
  }

  list(): Quarantine[] {
    return [...this.#byFingerprint.values()];
  }

  /** Adds a quarantine, or extends the one of the same fingerprint. */
  add(
    command: Command<"quarantine">,
    position: types.LogPosition,
  ): types.ApplyResult {
    const existing = this.#byFingerprint.get(command.fingerprint);
    const untilMs = position.timeMs + command.durationMs;
    const quarantine = {
      fingerprint: command.fingerprint,
      workspace: command.workspace,
      model: command.model,
      untilMs: Math.max(untilMs, existing?.untilMs ?? 0),
    };
    this.#byFingerprint.set(quarantine.fingerprint, quarantine);
    return {
      result: results.done(position.index),
      changes: [{ kind: "quarantined", quarantine }, ...this.#evictExcess()],
    };
  }

  release(
    command: Command<"release-quarantine">,
    position: types.LogPosition,
  ): types.ApplyResult {
    if (!this.#byFingerprint.has(command.fingerprint)) {
      return results.withoutViewChanges(
        results.notFound("there is no such quarantine"),
      );
    }
    return {
      result: results.done(position.index),
      changes: [this.#end(command.fingerprint)],
    };
  }

  /** Returns whether `expire` would end a quarantine. */
  isDue(timeMs: number): boolean {
    return this.list().some(({ untilMs }) => untilMs <= timeMs);
  }

  /** Ends the quarantines that have expired. */
  expire(timeMs: number): ViewChange[] {
    return this.list()
      .filter(({ untilMs }) => untilMs <= timeMs)
      .map(({ fingerprint }) => this.#end(fingerprint));
  }

  /** Ends the quarantine that expires first if there are too many. */
  #evictExcess(): ViewChange[] {
    if (this.#byFingerprint.size <= this.#limits.quarantines) return [];
    const first = this.list().reduce((a, b) => b.untilMs < a.untilMs ? b : a);
    return [this.#end(first.fingerprint)];
  }

  #end(fingerprint: string): ViewChange {
    this.#byFingerprint.delete(fingerprint);
    return { kind: "quarantine-ended", fingerprint };
  }
}
