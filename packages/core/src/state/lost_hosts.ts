import type * as types from "./types.ts";

/**
 * Host incarnations that were declared lost.
 *
 * They get no new claims or deferred requests: a lost host may still be
 * running, but nothing would end what it takes after it was declared lost.
 */
export class LostHosts {
  readonly #limits: types.Limits;
  readonly #names: Set<string>;

  constructor(limits: types.Limits, savedNames: readonly string[] = []) {
    this.#limits = limits;
    this.#names = new Set(savedNames);
  }

  has(owner: types.Owner): boolean {
    return this.#names.has(formatName(owner));
  }

  add(owner: types.Owner): void {
    this.#names.add(formatName(owner));
    if (this.#names.size <= this.#limits.lostHosts) return;
    for (const oldest of this.#names) {
      this.#names.delete(oldest);
      return;
    }
  }

  toSnapshot(): string[] {
    return [...this.#names];
  }
}

function formatName(owner: types.Owner): string {
  return `${owner.host}/${owner.hostIncarnation}`;
}
