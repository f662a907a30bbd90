/**
 * What this host itself has seen of the servers.
 *
 * @module
 */
import type { gateway } from "@ebonypath/protocol";
import type * as types from "./types.ts";

/** First time for which a server that failed is left out, in ms. */
const AVOID_MS = 250;
/** Longest such time, in milliseconds. */
const AVOID_LIMIT_MS = 4_000;
/** Time for which a server counts as lacking a model that it denied, in ms. */
const MISSING_MS = 150;

/** What is known of one server. */
type Record = {
  failures: number;
  avoidUntil: number;
};

/** Requests of one model, or of a plain service, at one server. */
type Running = {
  readonly server: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  count: number;
};

/** Requests that run, and servers that failed, as this host knows them. */
export class ServerTracker {
  readonly #onTurn: () => void;
  readonly #records = new Map<string, Record>();
  readonly #running = new Map<string, Running>();
  readonly #own = new Map<string, number>();
  /** Requests of all hosts, by the leader's last answer. */
  #all = new Map<string, number>();
  /** Requests of this host when that answer was made. */
  #ownThen = new Map<string, number>();
  readonly #missing = new Map<string, number>();

  /**
   * @param onTurn called when a server begins or ceases to run a model for
   * this host
   */
  constructor(onTurn: () => void) {
    this.#onTurn = onTurn;
  }

  /** Counts a request; the result ends it. */
  startRequest(
    server: string,
    { metadata: facts }: types.RequestContext,
  ): () => void {
    const { adapter, model } = facts;
    const key = modelKey(server, facts);
    const running = this.#running.get(key) ??
      { server, model, adapter, count: 0 };
    running.count += 1;
    if (running.count === 1 && model !== undefined) this.#onTurn();
    this.#running.set(key, running);
    this.#own.set(server, (this.#own.get(server) ?? 0) + 1);
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      running.count -= 1;
      if (running.count === 0) {
        this.#running.delete(key);
        if (model !== undefined) this.#onTurn();
      }
      this.#own.set(server, (this.#own.get(server) ?? 1) - 1);
    };
  }

  /** Requests of this host by server and model. */
  ownLoad(): gateway.ServerLoad[] {
    return [...this.#running.values()].map((one) => ({
      server: one.server,
      running: one.count,
      ...(one.model === undefined ? {} : { model: one.model }),
      ...(one.adapter === undefined ? {} : { adapter: one.adapter }),
    }));
  }

  /** Requests of a model that run. */
  runningRequests(model: string, adapter: string | undefined): number {
    return [...this.#running.values()]
      .filter((one) => one.model === model && one.adapter === adapter)
      .reduce((sum, { count }) => sum + count, 0);
  }

  /** Models and adapters with running requests. */
  *runningModels(): Generator<Running> {
    for (const one of this.#running.values()) {
      if (one.model !== undefined) yield one;
    }
  }

  /** Takes how many requests of all hosts run at each server. */
  setFleetLoad(load: readonly gateway.ServerLoad[]): void {
    this.#all = new Map(load.map(({ running, server }) => [server, running]));
    this.#ownThen = new Map(this.#own);
  }

  /** Requests at a server: those of this host now, of others lately. */
  loadOf(server: string): number {
    const own = this.#own.get(server) ?? 0;
    const all = this.#all.get(server) ?? 0;
    return own + Math.max(0, all - (this.#ownThen.get(server) ?? 0));
  }

  recordSuccess(server: string): void {
    this.#records.delete(server);
  }

  /** Leaves a server out for a while, longer with each failure in a row. */
  recordFailure(server: string, now: number): void {
    const record = this.#records.get(server) ?? { failures: 0, avoidUntil: 0 };
    record.failures += 1;
    const pause = AVOID_MS * 2 ** (record.failures - 1);
    record.avoidUntil = now + Math.min(pause, AVOID_LIMIT_MS);
    this.#records.set(server, record);
  }

  isEjected(server: string, now: number): boolean {
    return (this.#records.get(server)?.avoidUntil ?? 0) > now;
  }

  /** Notes that a server does not hold a model, whatever it announced. */
  recordMissingModel(
    server: string,
    { metadata: facts }: types.RequestContext,
    now: number,
  ): void {
    this.#missing.set(modelKey(server, facts), now + MISSING_MS);
    for (const [key, until] of this.#missing) {
      if (until <= now) this.#missing.delete(key);
    }
  }

  isModelMissing(
    server: string,
    { metadata: facts }: types.RequestContext,
    now: number,
  ): boolean {
    return (this.#missing.get(modelKey(server, facts)) ?? 0) > now;
  }

  /** Forgets servers that are gone. */
  retain(servers: ReadonlySet<string>): void {
    for (const server of this.#records.keys()) {
      if (!servers.has(server)) this.#records.delete(server);
    }
    for (const [server, count] of this.#own) {
      if (count === 0 && !servers.has(server)) this.#own.delete(server);
    }
  }
}

function modelKey(
  server: string,
  { adapter, model }: types.RequestMetadata,
): string {
  return `${server} ${model ?? ""} ${adapter ?? ""}`;
}
