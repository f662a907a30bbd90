/**
 * Keeps the log's record of the pools of which the leader grants shares.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as log from "../log/mod.ts";

const write = log.createLog("grants");

/** Longest time for which an exchange waits for a commit, in milliseconds. */
const OPENING_MS = 200;
/** Time between two looks for pools without use, in milliseconds. */
const CLOSING_INTERVAL_MS = 1_000;
/** Names that one command carries, of each kind. */
const NAMES = protocol.state.MAX_POOLS_PER_COMMAND;

/** What the driver needs of the leadership. */
export interface GrantOptions {
  readonly shares: core.limits.ShareAllocator;
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/**
 * Has the log say of which pools shares are granted, before any is, and takes
 * back what nobody uses. The next leader need not wait for the end of shares
 * of other pools.
 */
export class GrantDriver {
  readonly #options: GrantOptions;
  /** Pools that exchanges wait for. */
  readonly #buckets = new Set<string>();
  readonly #servers = new Set<string>();
  /** Pools without use that the log may still name. */
  readonly #unclosed = {
    buckets: new Set<string>(),
    servers: new Set<string>(),
  };
  #opening: Promise<void> | undefined;
  #closedAt = -Infinity;

  constructor(options: GrantOptions) {
    this.#options = options;
  }

  /** Opens the pools of which a report wants shares, if that is soon done. */
  async openFor(report: protocol.limits.ShareReport): Promise<void> {
    const { buckets, servers } = this.#options.shares.poolsToEnable(report);
    if (buckets.length + servers.length === 0) return;
    for (const name of buckets) this.#buckets.add(name);
    for (const name of servers) this.#servers.add(name);
    this.#opening ??= this.#openAll()
      .finally(() => this.#opening = undefined);
    await soon(this.#opening);
  }

  /** Closes pools without use. */
  run(now: number): void {
    if (now - this.#closedAt < CLOSING_INTERVAL_MS) return;
    this.#closedAt = now;
    const idle = this.#options.shares.disableIdlePools(now);
    const unclosed = this.#takeUnclosed();
    const names = {
      buckets: [...idle.buckets, ...unclosed.buckets],
      servers: [...idle.servers, ...unclosed.servers],
    };
    for (const part of partsOf(names)) void this.#close(part);
  }

  /** Tells the log again what it was not told, or may not have been told. */
  async #close(names: core.limits.PoolNames): Promise<void> {
    if (await this.#set(names, false)) return;
    for (const name of names.buckets) this.#unclosed.buckets.add(name);
    for (const name of names.servers) this.#unclosed.servers.add(name);
  }

  /** What has been opened since, or is about to be, stays open. */
  #takeUnclosed(): core.limits.PoolNames {
    const { buckets, servers } = this.#options.shares.closedOf({
      buckets: [...this.#unclosed.buckets],
      servers: [...this.#unclosed.servers],
    });
    this.#unclosed.buckets.clear();
    this.#unclosed.servers.clear();
    return {
      buckets: buckets.filter((name) => !this.#buckets.has(name)),
      servers: servers.filter((name) => !this.#servers.has(name)),
    };
  }

  /** What is wanted during one commit is opened by the next. */
  async #openAll(): Promise<void> {
    while (this.#buckets.size + this.#servers.size > 0) {
      const names = {
        buckets: [...this.#buckets].slice(0, NAMES),
        servers: [...this.#servers].slice(0, NAMES),
      };
      const isOpen = await this.#set(names, true);
      for (const name of names.buckets) this.#buckets.delete(name);
      for (const name of names.servers) this.#servers.delete(name);
      if (!isOpen) return;
      this.#options.shares.enablePools(names, performance.now());
    }
  }

  async #set(
    names: core.limits.PoolNames,
    isGrantable: boolean,
  ): Promise<boolean> {
    const { buckets, servers } = names;
    try {
      const result = await this.#options.propose({
        kind: "set-grantable",
        buckets: [...buckets],
        servers: [...servers],
        isGrantable,
      });
      write(isGrantable ? "opened" : "closed", {
        buckets: buckets.length,
        servers: servers.length,
        result: result.kind,
      });
      return result.kind === "done";
    } catch (error) {
      write("not-committed", { isGrantable, error });
      return false;
    }
  }
}

/** Names in parts that fit into one command each. */
function partsOf(
  { buckets, servers }: core.limits.PoolNames,
): core.limits.PoolNames[] {
  const count = Math.ceil(Math.max(buckets.length, servers.length) / NAMES);
  return Array.from({ length: count }, (_, part) => ({
    buckets: buckets.slice(part * NAMES, (part + 1) * NAMES),
    servers: servers.slice(part * NAMES, (part + 1) * NAMES),
  }));
}

/** Waits for a commit, but no longer than an exchange may take. */
async function soon(opening: Promise<void>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, OPENING_MS);
  });
  await Promise.race([opening, late]);
  clearTimeout(timer);
}
