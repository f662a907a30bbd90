import type * as protocol from "@ebonypath/protocol";

type Quarantine = protocol.state.Quarantine;

/**
 * Quarantines by fingerprint. Beyond a limit, the one that ends first is dropped.
 *
 * @example
 * ```ts
 * const list = new QuarantineList(1_000);
 * list.add({ fingerprint: "9f86", workspace: "shop", model: "m", untilMs });
 * ```
 */
export class QuarantineList {
  readonly #limit: number;
  readonly #byFingerprint: Map<string, Quarantine>;

  constructor(limit: number, quarantines: readonly Quarantine[] = []) {
    this.#limit = limit;
    this.#byFingerprint = new Map(
      quarantines.map((quarantine) => [quarantine.fingerprint, quarantine]),
    );
  }

  list(): Quarantine[] {
    return [...this.#byFingerprint.values()];
  }

  get(fingerprint: string): Quarantine | undefined {
    return this.#byFingerprint.get(fingerprint);
  }

  /**
   * Adds a quarantine, or extends the one of the same fingerprint; returns what
   * is in the list now, and what was dropped for it.
   */
  add(
    quarantine: Quarantine,
  ): { readonly added: Quarantine; readonly dropped: Quarantine | undefined } {
    const { fingerprint, untilMs } = quarantine;
    const endsAt = Math.max(untilMs, this.get(fingerprint)?.untilMs ?? 0);
    const added = { ...quarantine, untilMs: endsAt };
    this.#byFingerprint.set(fingerprint, added);
    return { added, dropped: this.#dropExcess() };
  }

  /** Removes a quarantine; returns whether there was one. */
  remove(fingerprint: string): boolean {
    return this.#byFingerprint.delete(fingerprint);
  }

  /** The quarantines that have ended by a wall-clock time, in milliseconds. */
  ended(timeMs: number): Quarantine[] {
    return this.list().filter(({ untilMs }) => untilMs <= timeMs);
  }

  #dropExcess(): Quarantine | undefined {
    if (this.#byFingerprint.size <= this.#limit) return undefined;
    const first = this.list().reduce((one, other) =>
      other.untilMs < one.untilMs ? other : one
    );
    this.#byFingerprint.delete(first.fingerprint);
    return first;
  }
}
