/**
 * Chooses a server for each request, and lets requests wait for one.
 *
 * @module
 */
import * as timers from "node:timers";
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as fleetView from "./fleet_view.ts";
import type * as serverBook from "./server_book.ts";
import type * as types from "./types.ts";

/** Requests for each slot that a plain server is given: it queues a few. */
const PLAIN_FILL = 1.5;
/** Time between two looks at requests that wait, in milliseconds. */
const PUMP_MS = 20;
/** How much fuller a server may be that read the same prompt before. */
const AFFINITY_SLACK = 0.15;
/** Shared prompts whose server is remembered. */
const PREFIXES = 4_096;

/** A request that waits for a server. */
type Waiter = {
  readonly work: types.Work;
  readonly resolve: (server: gateway.ServerRecord | undefined) => void;
};

/** What placement reads. */
export interface PlacementOptions {
  readonly view: fleetView.FleetView;
  readonly book: serverBook.ServerBook;
  readonly cold: core.gateway.ColdServerLimiter;
  /** Called when a request begins to wait for a model. */
  onWaiting(): void;
}

/** Servers for requests, and requests that wait for servers. */
export class Placement implements Disposable {
  readonly #options: PlacementOptions;
  readonly #waiting = new Set<Waiter>();
  /** Server that last read each shared prompt. */
  readonly #prefixes = new Map<string, string>();
  #interval: NodeJS.Timeout | undefined;

  constructor(options: PlacementOptions) {
    this.#options = options;
    options.view.on("change", () => this.pump());
  }

  /** Requests that wait. */
  *waiting(): Generator<types.Work> {
    for (const { work } of this.#waiting) yield work;
  }

  /** Waits for a server; nothing comes when waiting has become vain. */
  async choose(
    work: types.Work,
  ): Promise<gateway.ServerRecord | undefined> {
    const now = performance.now();
    const server = this.#find(work, now);
    if (server !== undefined) return server;
    if (now >= work.giveUpAt || work.signal.aborted) return undefined;
    return await this.#wait(work);
  }

  /** Looks again for servers for requests that wait, urgent ones first. */
  pump(): void {
    if (this.#waiting.size === 0) {
      timers.clearInterval(this.#interval);
      this.#interval = undefined;
      return;
    }
    const now = performance.now();
    const ordered = [...this.#waiting].sort((one, other) =>
      one.work.priority - other.work.priority ||
      one.work.arrivedAt - other.work.arrivedAt
    );
    for (const waiter of ordered) {
      const { work } = waiter;
      const isVain = now >= work.giveUpAt || work.signal.aborted;
      const server = isVain ? undefined : this.#find(work, now);
      if (server === undefined && !isVain) continue;
      this.#waiting.delete(waiter);
      waiter.resolve(server);
    }
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#interval);
    for (const { resolve } of this.#waiting) resolve(undefined);
    this.#waiting.clear();
  }

  #wait(work: types.Work): Promise<gateway.ServerRecord | undefined> {
    return new Promise((resolve) => {
      this.#waiting.add({ work, resolve });
      this.#interval ??= timers.setInterval(() => this.pump(), PUMP_MS);
      this.#options.onWaiting();
    });
  }

  #find(work: types.Work, now: number): gateway.ServerRecord | undefined {
    const { book, view } = this.#options;
    const able = view.ready(work.service.name)
      .filter((known) => this.#bears(known, work, now))
      .map(({ record }) => record)
      .filter((record) => holds(record, work))
      .filter(({ id }) => !book.isLacking(id, work, now));
    const sound = able.filter(({ id }) =>
      !book.isAvoided(id, now) && !work.failed.has(id)
    );
    const candidates = (sound.length > 0 ? sound : able)
      .map((record) => ({ record, fill: this.#fill(record) }))
      .filter(({ fill }) => fill < (work.service.engine ? 1 : PLAIN_FILL));
    const chosen = this.#best(work, candidates);
    if (chosen !== undefined && chosen.coldMs > 0) {
      this.#options.cold.recordRequest(chosen.id, now);
    }
    return chosen;
  }

  /** A cold server falls over under more than a few requests per second. */
  #bears(
    { heardAt, record }: fleetView.KnownServer,
    { service }: types.Work,
    now: number,
  ): boolean {
    const isWarm = now - heardAt > record.coldMs;
    const { coldRequestsPerSecond } = service;
    return isWarm || coldRequestsPerSecond === 0 ||
      this.#options.cold.allows(record.id, coldRequestsPerSecond, now);
  }

  #best(
    { facts }: types.Work,
    candidates: { record: gateway.ServerRecord; fill: number }[],
  ): gateway.ServerRecord | undefined {
    const first = candidates.sort((one, other) => one.fill - other.fill)[0];
    const { prefixKey } = facts;
    if (prefixKey === undefined || first === undefined) return first?.record;
    const kept = this.#prefixes.get(prefixKey);
    const known = candidates.find(({ record }) => record.id === kept);
    const isNear = known !== undefined &&
      known.fill <= first.fill + AFFINITY_SLACK;
    const chosen = isNear ? known.record : first.record;
    this.#remember(prefixKey, chosen.id);
    return chosen;
  }

  #remember(prefixKey: string, server: string): void {
    this.#prefixes.delete(prefixKey);
    this.#prefixes.set(prefixKey, server);
    const oldest = this.#prefixes.keys().next();
    if (this.#prefixes.size > PREFIXES && !oldest.done) {
      this.#prefixes.delete(oldest.value);
    }
  }

  #fill({ id, slots }: gateway.ServerRecord): number {
    return this.#options.book.loadOf(id) / Math.max(1, slots);
  }
}

/** Whether a server holds what a request asks for, and goes on holding it. */
function holds(
  { leaving, models }: gateway.ServerRecord,
  { facts, service }: types.Work,
): boolean {
  const { adapter, model } = facts;
  if (service.engine === undefined || model === undefined) return true;
  if (leaving.includes(model)) return false;
  const held = models.find(({ name }) => name === model);
  if (held === undefined) return false;
  return adapter === undefined || held.adapters.includes(adapter);
}
