import type * as core from "@ebonypath/core";

/** Keeps the token buckets at what the workspaces bought. */
export class BucketTable {
  readonly #shares: core.limits.ShareAllocator;
  #version = -1;
  #names: ReadonlySet<string> = new Set();

  constructor(shares: core.limits.ShareAllocator) {
    this.#shares = shares;
  }

  /** Takes the version in force. */
  configure(
    current: ReturnType<core.state.StateMachine["currentVersion"]>,
    now: number,
  ): void {
    if (current.version === this.#version) return;
    const { workspaces } = current.configuration;
    const names = new Set(workspaces.map((workspace) => workspace.name));
    for (const name of this.#names) {
      if (!names.has(name)) this.#shares.removeBucket(name, now);
    }
    for (const { name, rate, burst } of workspaces) {
      this.#shares.setBucket(name, { rate, burst }, now, burst);
    }
    this.#names = names;
    this.#version = current.version;
  }
}
