import type * as types from "./types.ts";

/**
 * Host incarnations that were declared lost.
 *
 * They may not take new claims or work: nobody would end these for them.
 */
export class LostHosts {
  readonly #limits: types.Limits;
  readonly #names: Set<string>;

  constructor(limits: types.Limits, saved: readonly string[] = []) {
    this.#limits = limits;
    this.#names = new Set(saved);
  }

  has(owner: types.Owner): boolean {
    return this.#names.has(nameOf(owner));
  }

  add(owner: types.Owner): void {
    this.#names.add(nameOf(owner));
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

function nameOf(owner: types.Owner): string {
  return `${owner.host}/${owner.hostIncarnation}`;
}
