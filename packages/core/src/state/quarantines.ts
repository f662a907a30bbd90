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

  constructor(limits: types.Limits, saved: readonly Quarantine[] = []) {
    this.#limits = limits;
    for (const item of saved) this.#byFingerprint.set(item.fingerprint, item);
  }

  list(): Quarantine[] {
    return [...this.#byFingerprint.values()];
  }

  add(
    command: Command<"quarantine">,
    position: types.LogPosition,
  ): types.ApplyResult {
    const known = this.#byFingerprint.get(command.fingerprint);
    const untilMs = position.timeMs + command.durationMs;
    const quarantine = {
      fingerprint: command.fingerprint,
      workspace: command.workspace,
      model: command.model,
      untilMs: Math.max(untilMs, known?.untilMs ?? 0),
    };
    this.#byFingerprint.set(quarantine.fingerprint, quarantine);
    return {
      result: results.done(position.index),
      changes: [{ kind: "quarantined", quarantine }, ...this.#bound()],
    };
  }

  release(
    command: Command<"release-quarantine">,
    position: types.LogPosition,
  ): types.ApplyResult {
    if (!this.#byFingerprint.has(command.fingerprint)) {
      return results.quiet(results.notFound("there is no such quarantine"));
    }
    return {
      result: results.done(position.index),
      changes: [this.#end(command.fingerprint)],
    };
  }

  /** Whether `expire` would end anything. */
  isDue(timeMs: number): boolean {
    return this.list().some(({ untilMs }) => untilMs <= timeMs);
  }

  /** Ends the quarantines whose time is over. */
  expire(timeMs: number): ViewChange[] {
    return this.list()
      .filter(({ untilMs }) => untilMs <= timeMs)
      .map(({ fingerprint }) => this.#end(fingerprint));
  }

  #bound(): ViewChange[] {
    if (this.#byFingerprint.size <= this.#limits.quarantines) return [];
    const first = this.list().reduce((a, b) => b.untilMs < a.untilMs ? b : a);
    return [this.#end(first.fingerprint)];
  }

  #end(fingerprint: string): ViewChange {
    this.#byFingerprint.delete(fingerprint);
    return { kind: "quarantine-ended", fingerprint };
  }
}
