/**
 * A server that holds models and carries out orders, without input or output.
 *
 * @module
 */

/** Sizes and times of an engine. */
export interface EngineOptions {
  readonly weightsMb: number;
  readonly adapterPlaces: number;
  readonly adapterMs: number;
  /** Age of what a report says, in milliseconds. */
  readonly reportLagMs: number;
  readonly models: ReadonlyMap<string, ModelSize>;
  /** Monotonic clock in milliseconds. */
  readonly now: () => number;
}

/** What a model takes. */
export interface ModelSize {
  readonly weightsMb: number;
  readonly adapterMb: number;
  readonly storeMs: number;
  readonly diskMs: number;
}

/** An order, with the number of orders that it expects to come after. */
export interface EngineOrder {
  readonly isLoad: boolean;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly expected: number | undefined;
}

/** What an engine says of itself. */
export interface EngineState {
  readonly models: readonly {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly string[];
  }[];
  readonly isBusy: boolean;
  readonly orders: number;
  readonly pending: readonly string[];
  readonly onDisk: readonly string[];
}

/** Something that ends at a time. */
interface Timed {
  readonly until: number;
  readonly apply: () => void;
}

/** Snapshots that are kept for late reports. */
const HISTORY = 64;

/**
 * Carries out one order at a time, as servers do that an engine's dialect
 * describes: adapters beside it, an unload when its requests have ended, a late
 * report, and a crash when it is told to hold more than it can.
 *
 * @example
 * ```ts
 * const engine = new PagedEngine(options);
 * engine.order({ isLoad: true, model: "m", adapter: undefined, expected: 0 });
 * ```
 */
export class PagedEngine {
  readonly #options: EngineOptions;
  readonly #held = new Map<string, Set<string>>();
  readonly #disk = new Set<string>();
  readonly #running = new Map<string, number>();
  readonly #pending = new Map<string, Timed>();
  #history: { readonly at: number; readonly state: EngineState }[] = [];
  #current: Timed | undefined;
  #draining: { readonly model: string; readonly adapter?: string }[] = [];
  #orders = 0;
  #overfilled = 0;

  constructor(options: EngineOptions, models: readonly string[] = []) {
    this.#options = options;
    for (const model of models) {
      this.#held.set(model, new Set());
      this.#disk.add(model);
    }
  }

  /** How often it was told to hold more than it can. */
  get overfilled(): number {
    return this.#overfilled;
  }

  /** Takes an order; returns the status of its answer. */
  order(asked: EngineOrder): number {
    this.#advance();
    if (asked.expected !== undefined && asked.expected !== this.#orders) {
      return 409;
    }
    if (this.#current !== undefined) return 409;
    const status = asked.adapter === undefined
      ? this.#orderModel(asked)
      : this.#orderAdapter(asked, asked.adapter);
    this.#record();
    return status;
  }

  /** What it says of itself: the state of a moment ago. */
  report(): EngineState {
    this.#advance();
    const at = this.#options.now() - this.#options.reportLagMs;
    const past = this.#history.findLast((one) => one.at <= at);
    return past?.state ?? this.#history[0]?.state ?? this.state();
  }

  /** What it holds now. */
  state(): EngineState {
    return {
      models: [...this.#held].map(([name, adapters]) => ({
        name,
        version: 1,
        adapters: [...adapters],
      })),
      isBusy: this.#current !== undefined || this.#isDraining(undefined),
      orders: this.#orders,
      pending: [...this.#pending.keys()],
      onDisk: [...this.#disk],
    };
  }

  /** Begins a request; nothing where the model or adapter is not there. */
  begin(model: string, adapter?: string): (() => void) | undefined {
    this.#advance();
    const adapters = this.#held.get(model);
    if (adapters === undefined) return undefined;
    if (adapter !== undefined && !adapters.has(adapter)) return undefined;
    const keys = adapter === undefined
      ? [model]
      : [model, `${model}/${adapter}`];
    for (const key of keys) this.#count(key, 1);
    return () => {
      for (const key of keys) this.#count(key, -1);
      this.#advance();
    };
  }

  #orderModel({ isLoad, model }: EngineOrder): number {
    const size = this.#options.models.get(model);
    if (size === undefined) return 400;
    if (isLoad === this.#held.has(model)) return 200;
    if (this.#isDraining(undefined)) return 409;
    this.#orders += 1;
    if (!isLoad) {
      this.#draining.push({ model });
      this.#advance();
      return 202;
    }
    if (this.#usedMb() + size.weightsMb > this.#options.weightsMb) {
      this.#overfilled += 1;
    }
    const takes = this.#disk.has(model) ? size.diskMs : size.storeMs;
    this.#current = {
      until: this.#options.now() + takes,
      apply: () => {
        this.#held.set(model, new Set());
        this.#disk.add(model);
        this.#current = undefined;
      },
    };
    return 202;
  }

  #orderAdapter({ isLoad, model }: EngineOrder, adapter: string): number {
    const adapters = this.#held.get(model);
    const key = `${model}/${adapter}`;
    if (adapters === undefined) return 421;
    const isThere = adapters.has(adapter) || this.#pending.has(key);
    if (isLoad === isThere) return 200;
    this.#orders += 1;
    if (!isLoad) {
      this.#draining.push({ model, adapter });
      this.#advance();
      return this.#held.get(model)?.has(adapter) ? 202 : 200;
    }
    if (this.#adapterCount() >= this.#options.adapterPlaces) {
      this.#overfilled += 1;
    }
    const until = this.#options.now() + this.#options.adapterMs;
    const apply = () => {
      this.#pending.delete(key);
      this.#held.get(model)?.add(adapter);
    };
    this.#pending.set(key, { until, apply });
    return 202;
  }

  #usedMb(): number {
    let used = 0;
    for (const [name, adapters] of this.#held) {
      const size = this.#options.models.get(name);
      used += (size?.weightsMb ?? 0) + adapters.size * (size?.adapterMb ?? 0);
    }
    return used;
  }

  #adapterCount(): number {
    let count = this.#pending.size;
    for (const adapters of this.#held.values()) count += adapters.size;
    return count;
  }

  #isDraining(adapter: string | undefined): boolean {
    return this.#draining.some((one) => one.adapter === adapter);
  }

  #count(key: string, by: number): void {
    this.#running.set(key, (this.#running.get(key) ?? 0) + by);
  }

  /** Lets what is due by now come about. */
  #advance(): void {
    const now = this.#options.now();
    for (const timed of [this.#current, ...this.#pending.values()]) {
      if (timed !== undefined && timed.until <= now) timed.apply();
    }
    this.#draining = this.#draining.filter(({ adapter, model }) => {
      const key = adapter === undefined ? model : `${model}/${adapter}`;
      if ((this.#running.get(key) ?? 0) > 0) return true;
      if (adapter === undefined) this.#held.delete(model);
      else this.#held.get(model)?.delete(adapter);
      return false;
    });
    this.#record();
  }

  #record(): void {
    this.#history.push({ at: this.#options.now(), state: this.state() });
    if (this.#history.length > HISTORY) this.#history.shift();
  }
}
