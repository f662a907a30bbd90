import * as core from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

/** Interval of planning rounds and of the host's reports. */
const ROUND_MS = 250;
const STORE_LOAD_MS = 8_000;
const RUN_MS = 1_500;
/** Latency objective of the first event. */
const TARGET_MS = 3_000;
/** Time after which a caller leaves whose answer has not begun. */
const PATIENCE_MS = 12_000;
/** Time that a caller has in all. */
const DEADLINE_MS = 20_000;
const PLACES = 3;
const DISK_PLACES = 18;
const HOST = "h1";
const SERVICE = "advice";
/** Models on one disk each, that are asked for once demand has moved. */
const OTHER = "other";

/** Models that are asked for, and how often. */
export type Archive = {
  readonly servers: number;
  readonly popular: number;
  readonly popularPerSecond: number;
  /** Models that no server has a copy of. */
  readonly rare: number;
  readonly rarePerSecond: number;
  /**
   * Loads at once that the store serves at full speed. One that begins beside
   * more takes proportionally longer.
   */
  readonly storeConcurrency: number;
  /** Time at which demand moves to other models, which are on one disk each. */
  readonly shiftsAt: number;
  readonly untilMs: number;
};

/** A caller that is refused once may come back once. */
type Caller = {
  readonly model: string;
  readonly arrivedAt: number;
  /** When it leaves if its answer has not begun. */
  readonly leavesAt: number;
  /** When it leaves in any case. */
  readonly deadline: number;
  readonly hasComeBack: boolean;
};

type ReturningCaller = { readonly caller: Caller; readonly dueAt: number };

/** Monotonic times at which one model was asked for and served, in ms. */
export type ModelOutcome = {
  readonly requestedAt: number[];
  readonly servedAt: number[];
};

/** A server that executes one order at a time and runs requests meanwhile. */
class Server {
  readonly id: string;
  held: string[];
  /** Copies on its disk, the one used last at the end. */
  disk: string[];
  order: core.ModelOrder | undefined;
  orderedAt = 0;
  doneAt = 0;
  storeMark: core.ConcurrencyMark | undefined;
  runsUntil = new Map<string, number>();

  constructor(id: string, held: string[], disk: string[]) {
    this.id = id;
    this.held = held;
    this.disk = disk;
  }

  begin(order: core.ModelOrder, now: number, stretch: number): void {
    this.order = order;
    this.orderedAt = now;
    this.doneAt = order.kind === "load"
      ? now + order.expectedMs * stretch
      : now;
  }

  get loadsFromStore(): boolean {
    return this.order?.kind === "load" && this.order.source === "store";
  }

  isOverdue(now: number): boolean {
    return this.order?.kind === "load" &&
      now - this.orderedAt > this.order.expectedMs * core.FULL_SPEED_STRETCH;
  }

  /** Ends the order if it is complete; returns it then. */
  advance(now: number): core.ModelOrder | undefined {
    const { order } = this;
    if (order === undefined || now < this.doneAt) return undefined;
    const { model } = order;
    if (order.kind === "unload" && this.isRunning(model, now)) return undefined;
    this.order = undefined;
    this.held = this.held.filter((one) => one !== model);
    if (order.kind === "load") {
      this.held.push(model);
      this.disk = [...this.disk.filter((one) => one !== model), model]
        .slice(-DISK_PLACES);
    }
    return order;
  }

  isRunning(model: string, now: number): boolean {
    return (this.runsUntil.get(model) ?? 0) > now;
  }

  view(now: number): core.PlannerServer {
    return fixtures.server({
      id: this.id,
      models: this.held.map((name) => fixtures.heldModel(name)),
      loading: this.order?.kind === "load" ? this.order.model : undefined,
      busyMs: this.order === undefined ? 0 : Math.max(1, this.doneAt - now),
      onDisk: new Set(this.disk),
      running: new Map(
        [...this.runsUntil].filter(([, until]) => until > now)
          .map(([model]) => [model, 1]),
      ),
    });
  }
}

/** Requests, and the time over which they come, from which a model counts. */
const MIN_REQUESTS = 4;
const MIN_SPAN_MS = 8_000;
/** Models that may be left without service: one, and a tenth of all. */
const NEVER_SERVED = 1;
const NEVER_SERVED_SHARE = 0.1;

/** Plays an archive; counts the models that are asked for all along. */
export function countNeverServed(
  archive: Archive,
  seed: number,
): { readonly asked: number; readonly never: number } {
  const fleet = new ArchiveFleet(archive, seed);
  fleet.play();
  const asked = [...fleet.outcomes.values()].filter(({ requestedAt }) => {
    const spanMs = (requestedAt.at(-1) ?? 0) - (requestedAt[0] ?? 0);
    return requestedAt.length >= MIN_REQUESTS && spanMs >= MIN_SPAN_MS;
  });
  const never = asked.filter(({ servedAt }) => servedAt.length === 0);
  return { asked: asked.length, never: never.length };
}

/** Plays an archive; returns the share of requests served after demand moved. */
export function shareServedAfterShift(archive: Archive, seed: number): number {
  const fleet = new ArchiveFleet(archive, seed);
  fleet.play();
  const moved = [...fleet.outcomes].filter(([name]) => name.startsWith(OTHER))
    .map(([, outcome]) => outcome);
  const requested = moved.flatMap(({ requestedAt }) => requestedAt);
  const served = moved.flatMap(({ servedAt }) => servedAt);
  return served.length / requested.length;
}

/** Models of those asked for all along that may be left without service. */
export function mayBeNeverServed(asked: number): number {
  return NEVER_SERVED + NEVER_SERVED_SHARE * asked;
}

/**
 * Plays servers whose memory is too small for the models that callers ask for:
 * the planner decides what they load, and callers wait, come back or give up as
 * entry hosts tell them.
 */
export class ArchiveFleet {
  readonly outcomes = new Map<string, ModelOutcome>();
  readonly #archive: Archive;
  readonly #random: () => number;
  readonly #servers: readonly Server[];
  readonly #engine;
  readonly #popular: readonly string[];
  /** Popular models after demand has moved. */
  readonly #popularLater: readonly string[];
  readonly #tracker = new core.DemandTracker();
  readonly #unserved = new core.UnservedModels();
  readonly #storeConcurrency = new core.StoreConcurrency();
  readonly #storeMeter = new core.ConcurrencyMeter();
  #waiting: Caller[] = [];
  #returning: ReturningCaller[] = [];
  readonly #loadedAt = new Map<string, number>();

  constructor(archive: Archive, seed: number) {
    this.#archive = archive;
    this.#random = randomOf(seed);
    const popular = names("popular", archive.popular);
    const other = names(OTHER, archive.servers * DISK_PLACES);
    this.#popular = popular;
    this.#popularLater = popular.map((_, index) =>
      other[index * DISK_PLACES] ?? ""
    );
    this.#engine = {
      ...fixtures.engine([]),
      models: [...popular, ...other, ...names("rare", archive.rare)]
        .map((name) => ({
          ...fixtures.model(name),
          storeLoadMs: STORE_LOAD_MS,
        })),
    };
    this.#servers = names("s", archive.servers).map((id, index) => {
      const held = [0, 1, 2].map((place) =>
        popular[(index * PLACES + place) % popular.length] ?? ""
      );
      const copies = other.slice(
        index * DISK_PLACES,
        (index + 1) * DISK_PLACES,
      );
      return new Server(id, [...new Set(held)], [...copies, ...held].slice(3));
    });
  }

  play(): void {
    for (let now = 0; now <= this.#archive.untilMs; now += ROUND_MS) {
      this.#advance(now);
      const arrivals = this.#arrive(now);
      this.#serve(now);
      this.#report(arrivals, now);
      this.#plan(now);
    }
  }

  #advance(now: number): void {
    for (const server of this.#servers) {
      const order = server.advance(now);
      if (order?.kind !== "load") continue;
      this.#loadedAt.set(`${server.id} ${order.model}`, now);
      if (server.storeMark === undefined) continue;
      this.#storeConcurrency.recordLoad({
        durationMs: now - server.orderedAt,
        expectedMs: order.expectedMs,
        concurrency: this.#storeMeter.end(server.storeMark, now),
        concurrencyAtStart: server.storeMark.concurrency,
        at: now,
      });
      server.storeMark = undefined;
    }
  }

  /** Number of arrivals by model: new callers, and those that come back. */
  #arrive(now: number): Map<string, number> {
    const { popularPerSecond, rare, rarePerSecond, shiftsAt } = this.#archive;
    const popular = now < shiftsAt ? this.#popular : this.#popularLater;
    const callers = [
      ...this.#drawArrivals(popular, popularPerSecond),
      ...names("rare", rare).flatMap((model, index) =>
        this.#drawArrivals([model], rarePerSecond * 2 * (index + 0.5) / rare)
      ),
    ].map((model) => ({
      model,
      arrivedAt: now,
      leavesAt: now + PATIENCE_MS,
      deadline: now + DEADLINE_MS,
      hasComeBack: false,
    }));
    const back = this.#returning.filter(({ dueAt }) => dueAt <= now)
      .map(({ caller }) => caller);
    this.#returning = this.#returning.filter(({ dueAt }) => dueAt > now);
    const counts = new Map<string, number>();
    for (const caller of [...callers, ...back]) {
      this.#waiting.push(caller);
      counts.set(caller.model, (counts.get(caller.model) ?? 0) + 1);
      const outcome = this.outcomes.get(caller.model) ??
        { requestedAt: [], servedAt: [] };
      this.outcomes.set(caller.model, outcome);
      outcome.requestedAt.push(now);
    }
    return counts;
  }

  #drawArrivals(models: readonly string[], perSecond: number): string[] {
    const probability = perSecond * ROUND_MS / 1_000;
    return models.flatMap((model) =>
      this.#random() < probability ? [model] : []
    );
  }

  #serve(now: number): void {
    this.#waiting = this.#waiting.filter(({ deadline, leavesAt, model }) => {
      const server = this.#servers.find(({ held, order }) =>
        held.includes(model) &&
        !(order?.kind === "unload" && order.model === model)
      );
      if (server === undefined) return leavesAt > now;
      server.runsUntil.set(model, now + RUN_MS);
      if (now + RUN_MS <= deadline) {
        this.outcomes.get(model)?.servedAt.push(now);
      }
      return false;
    });
  }

  #report(arrivals: ReadonlyMap<string, number>, now: number): void {
    const runs = this.#servers.flatMap(({ id, runsUntil }) =>
      [...runsUntil].filter(([, until]) => until > now)
        .map(([model]) => ({ server: id, model, running: 1 }))
    );
    const models = new Set([
      ...arrivals.keys(),
      ...this.#waiting.map(({ model }) => model),
      ...this.#returning.map(({ caller }) => caller.model),
      ...runs.map(({ model }) => model),
    ]);
    const demand = [...models].map((model) => {
      const returningMs = this.#returning
        .filter(({ caller }) => caller.model === model)
        .map(({ dueAt }) => dueAt - now);
      return {
        service: SERVICE,
        model,
        arrivals: arrivals.get(model) ?? 0,
        running: runs.filter((run) => run.model === model).length,
        slacksMs: [
          ...this.#waiting.filter((caller) => caller.model === model)
            .map(({ arrivedAt }) => arrivedAt + TARGET_MS - now),
          ...returningMs,
        ],
        returningMs,
      };
    });
    this.#tracker.addReport({ host: HOST, demand, load: runs }, now);
  }

  #plan(now: number): void {
    const views = this.#servers.map((server) => server.view(now));
    const demand = this.#tracker.aggregate(SERVICE, now);
    const { lastRequestedAt } = this.#tracker;
    this.#unserved.update(demand, views, lastRequestedAt, now);
    const loading = this.#servers.filter((server) => server.loadsFromStore);
    const overdue = loading.filter((server) => server.isOverdue(now));
    const limit = this.#storeConcurrency.limitBeside(overdue.length);
    const maxLoads = Math.min(limit, core.maxStoreLoads(views));
    const { orders } = core.planRound(fixtures.input({
      engine: this.#engine,
      servers: views,
      demand,
      canLoadFromStore: loading.length < maxLoads,
      lastRequestedAt,
      unservedMs: this.#unserved.ages(now),
      observedMs: now,
      loadedAt: this.#loadedAt,
      now,
    }));
    for (const order of orders) {
      this.#begin(order, now);
    }
    this.#refuse(demand, now);
  }

  #begin(order: core.ModelOrder, now: number): void {
    const server = this.#servers.find(({ id }) => id === order.server);
    const isFromStore = order.kind === "load" && order.source === "store";
    const loading = this.#servers.filter((one) => one.loadsFromStore).length;
    const stretch = isFromStore
      ? Math.max(1, (loading + 1) / this.#archive.storeConcurrency)
      : 1;
    server?.begin(order, now, stretch);
    if (isFromStore && server !== undefined) {
      server.storeMark = this.#storeMeter.begin(now);
    }
  }

  /** Sends away callers whose model can't be ready while they wait. */
  #refuse(demand: readonly core.AggregateDemand[], now: number): void {
    const forecasts = core.forecastLoads({
      engine: this.#engine,
      servers: this.#servers.map((server) => server.view(now)),
      demand: core.mergeAdapters(demand),
      storeLoadsMs: this.#servers.filter((server) => server.loadsFromStore)
        .map(({ doneAt }) => doneAt - now),
      storeConcurrency: this.#storeConcurrency.limit,
    });
    const refused = this.#waiting.filter(({ leavesAt, model }) =>
      now + (forecasts.get(model) ?? 0) > leavesAt
    );
    this.#waiting = this.#waiting.filter((one) => !refused.includes(one));
    for (const caller of refused.filter(({ hasComeBack }) => !hasComeBack)) {
      const awayMs = core.awayMs(
        forecasts.get(caller.model) ?? 0,
        caller.deadline - now,
      );
      const arrivedAt = now + awayMs;
      const leavesAt = Math.min(caller.deadline, arrivedAt + PATIENCE_MS);
      this.#returning.push({
        caller: { ...caller, arrivedAt, leavesAt, hasComeBack: true },
        dueAt: arrivedAt,
      });
    }
  }
}

function names(kind: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${kind}${index}`);
}

/** A generator of numbers from 0 to 1 that repeats with its seed (mulberry32). */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
