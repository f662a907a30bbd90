import * as timers from "node:timers/promises";
import type { backend } from "@ebonypath/protocol";
import type * as journal from "./journal.ts";
import type * as types from "./types.ts";
import type * as weightStore from "./weight_store.ts";

/** Most cached checkpoints that are kept and reported. */
const CACHED_MODELS = 1_000;

/** Settings of the accelerator memory of a fake. */
export interface AcceleratorOptions {
  readonly memoryBytes: number;
  readonly loaded: readonly backend.LoadedModel[];
  readonly cached: readonly backend.CachedModel[];
  readonly loadTimes: types.LoadTimes;
  readonly unloadMs: number;
  readonly store: weightStore.WeightStore;
  readonly journal: journal.Journal;
  /** Runs whenever the reported content changes. */
  readonly onChange: () => void;
}

type Result = backend.OrderResult;
type LoadOrder = Extract<backend.Order, { kind: "load" | "load-adapter" }>;

/** Accelerator memory: what is loaded, and how long loads take. */
export class Accelerator {
  readonly #options: AcceleratorOptions;
  readonly #loaded = new Map<string, backend.LoadedModel>();
  readonly #cached = new Map<string, backend.CachedModel>();
  readonly #loading = new Map<string, Promise<Result>>();
  #reservedBytes = 0;
  #stopped = new AbortController();

  constructor(options: AcceleratorOptions) {
    this.#options = options;
    for (const model of options.loaded) this.#loaded.set(model.model, model);
    for (const model of options.cached) {
      this.#cached.set(cacheKey(model), model);
    }
  }

  get loaded(): backend.LoadedModel[] {
    return [...this.#loaded.values()];
  }

  get cached(): backend.CachedModel[] {
    return [...this.#cached.values()];
  }

  /** Bytes that are loaded, being loaded or being unloaded. */
  get usedBytes(): number {
    return this.#reservedBytes +
      this.loaded.reduce((sum, model) => sum + model.bytes, 0);
  }

  /** Whether a model, and the adapter that a reference may name, is loaded. */
  holds(reference: string): boolean {
    return this.#loaded.has(baseOf(reference)) && this.#loaded.has(reference);
  }

  /** Loses everything that is loaded or being loaded. */
  clear(): void {
    this.#stopped.abort();
    this.#stopped = new AbortController();
    this.#loaded.clear();
    this.#loading.clear();
    this.#reservedBytes = 0;
  }

  async load(order: LoadOrder): Promise<Result> {
    const held = this.#loaded.get(order.model);
    if (held?.version === order.version) return { kind: "done" };
    const isAdapter = order.kind === "load-adapter";
    if (isAdapter && !this.#loaded.has(baseOf(order.model))) {
      return { kind: "refused", reason: "not-loaded" };
    }
    const key = `${order.model}@${order.version}`;
    const running = this.#loading.get(key);
    if (running !== undefined) return await running;
    const load = this.#load(order, held);
    this.#loading.set(key, load);
    try {
      return await load;
    } finally {
      if (this.#loading.get(key) === load) this.#loading.delete(key);
    }
  }

  async unload(reference: string): Promise<Result> {
    if (!this.#loaded.has(reference)) {
      return { kind: "refused", reason: "not-loaded" };
    }
    const stopped = this.#stopped.signal;
    const gone = this.loaded.filter((model) => belongsTo(model, reference));
    const bytes = gone.reduce((sum, model) => sum + model.bytes, 0);
    for (const model of gone) this.#loaded.delete(model.model);
    this.#reservedBytes += bytes;
    await timers.setTimeout(this.#options.unloadMs);
    if (stopped.aborted) return { kind: "refused", reason: "failed" };
    this.#reservedBytes -= bytes;
    this.#options.onChange();
    return { kind: "done" };
  }

  async #load(
    order: LoadOrder,
    replaced: backend.LoadedModel | undefined,
  ): Promise<Result> {
    const needed = this.usedBytes + order.bytes;
    if (needed > this.#options.memoryBytes) {
      this.#options.journal.addViolation(
        "memory-overcommitted",
        `${order.model} needs ${needed} of ${this.#options.memoryBytes} bytes`,
      );
      return { kind: "refused", reason: "no-memory" };
    }
    const stopped = this.#stopped.signal;
    this.#reservedBytes += order.bytes;
    try {
      await this.#fetch(
        order,
        AbortSignal.any([stopped, AbortSignal.timeout(order.timeoutMs)]),
      );
    } catch {
      if (!stopped.aborted) this.#reservedBytes -= order.bytes;
      return { kind: "refused", reason: "failed", detail: "load gave up" };
    }
    if (stopped.aborted) return { kind: "refused", reason: "failed" };
    this.#reservedBytes -= order.bytes;
    if (replaced !== undefined) this.#loaded.delete(replaced.model);
    const { model, version, bytes, fence } = order;
    this.#loaded.set(model, { model, version, bytes, fence });
    this.#remember(order);
    this.#options.onChange();
    return { kind: "done" };
  }

  async #fetch(order: LoadOrder, signal: AbortSignal): Promise<void> {
    const { store, loadTimes } = this.#options;
    if (order.kind === "load-adapter") return await store.loadAdapter(signal);
    const place = this.#cached.get(cacheKey(order))?.place;
    if (place === undefined) {
      return await store.load(loadTimes.storeMs, signal);
    }
    const ms = place === "memory" ? loadTimes.memoryMs : loadTimes.diskMs;
    await timers.setTimeout(ms, undefined, { signal });
  }

  #remember(order: LoadOrder): void {
    const { model, version } = order;
    const [oldest] = this.#cached.keys();
    if (oldest !== undefined && this.#cached.size >= CACHED_MODELS) {
      this.#cached.delete(oldest);
    }
    this.#cached.set(cacheKey(order), { model, version, place: "memory" });
  }
}

function cacheKey(model: { model: string; version: string }): string {
  return `${model.model}@${model.version}`;
}

function baseOf(reference: string): string {
  return reference.split(":")[0] as string;
}

function belongsTo(model: backend.LoadedModel, reference: string): boolean {
  return model.model === reference || model.model.startsWith(`${reference}:`);
}
