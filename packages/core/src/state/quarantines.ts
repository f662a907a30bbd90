import type * as protocol from "@ebonypath/protocol";
import * as suspicion from "../suspicion/mod.ts";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Quarantine = protocol.state.Quarantine;
type ViewChange = protocol.state.ViewChange;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** Fingerprints of requests that crashed backend servers. */
export class Quarantines {
  readonly #list: suspicion.QuarantineList;

  constructor(
    limits: types.Limits,
    savedQuarantines: readonly Quarantine[] = [],
  ) {
    this.#list = new suspicion.QuarantineList(
      limits.quarantines,
      savedQuarantines,
    );
  }

  list(): Quarantine[] {
    return this.#list.list();
  }

  /** Adds a quarantine, or extends the one of the same fingerprint. */
  add(
    command: Command<"quarantine">,
    position: types.LogPosition,
  ): types.ApplyResult {
    const { fingerprint, model, workspace } = command;
    const untilMs = position.timeMs + command.durationMs;
    const { added, dropped } = this.#list.add({
      fingerprint,
      workspace,
      model,
      untilMs,
    });
    const changes: ViewChange[] = [{ kind: "quarantined", quarantine: added }];
    if (dropped !== undefined) changes.push(endOf(dropped.fingerprint));
    return { result: results.done(position.index), changes };
  }

  release(
    command: Command<"release-quarantine">,
    position: types.LogPosition,
  ): types.ApplyResult {
    if (!this.#list.remove(command.fingerprint)) {
      return results.withoutViewChanges(
        results.notFound("there is no such quarantine"),
      );
    }
    return {
      result: results.done(position.index),
      changes: [endOf(command.fingerprint)],
    };
  }

  /** Returns whether `expire` would end a quarantine. */
  isDue(timeMs: number): boolean {
    return this.#list.ended(timeMs).length > 0;
  }

  /** Ends the quarantines that have expired. */
  expire(timeMs: number): ViewChange[] {
    return this.#list.ended(timeMs).map(({ fingerprint }) => {
      this.#list.remove(fingerprint);
      return endOf(fingerprint);
    });
  }
}

function endOf(fingerprint: string): ViewChange {
  return { kind: "quarantine-ended", fingerprint };
}
