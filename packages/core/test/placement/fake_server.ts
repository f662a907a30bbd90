import type * as protocol from "@ebonypath/protocol";

/** The execution of an order. */
export interface Execution {
  readonly durationMs: number;
  /** Completes the execution; undefined if the process has restarted. */
  complete(): protocol.backend.OrderResult | undefined;
}

interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
}

export interface FakeServerOptions {
  readonly id: string;
  readonly failureDomain?: string;
  readonly memoryBytes: number;
  readonly checksFencing: boolean;
  readonly concurrency?: number;
  readonly services?: string[];
  readonly cached?: protocol.backend.CachedModel[];
  /** Bytes loaded per millisecond. */
  readonly rate?: number;
  /** Size of the KV cache of a loaded model, in bytes. */
  readonly kvBytes?: (model: string) => number;
}

/** A model engine that executes every order it receives, however late. */
export class FakeServer {
  readonly id: string;
  readonly memoryBytes: number;
  leaving = false;
  silentUntilMs = 0;
  running = 0;
  readonly #options: FakeServerOptions;
  #incarnation = 1;
  #sequence = 0;
  #fence = 0;
  readonly #loaded = new Map<string, LoadedModel>();
  readonly #loading = new Set<LoadedModel>();

  constructor(options: FakeServerOptions) {
    this.#options = options;
    this.id = options.id;
    this.memoryBytes = options.memoryBytes;
  }

  get incarnation(): string {
    return `i${this.#incarnation}`;
  }

  /** Models that are loaded or being loaded. */
  heldModels(): LoadedModel[] {
    return [...this.#loaded.values(), ...this.#loading];
  }

  isLoaded(model: string, version = "1"): boolean {
    return this.#loaded.has(`${model}@${version}`);
  }

  usedBytes(): number {
    const kvBytes = this.#options.kvBytes ?? (() => 0);
    return this.heldModels().reduce(
      (sum, item) => sum + item.bytes + kvBytes(item.model),
      0,
    );
  }

  /** Loads a model immediately, without an order. */
  addLoaded(model: string, bytes: number, version = "1"): void {
    this.#loaded.set(`${model}@${version}`, { model, version, bytes });
  }

  announce(): protocol.backend.Announcement {
    const { services, failureDomain, cached, concurrency, checksFencing } =
      this.#options;
    return {
      id: this.id,
      incarnation: this.incarnation,
      address: "http://127.0.0.1:1",
      failureDomain: failureDomain ?? "d1",
      kind: "engine",
      services: services ?? ["advice"],
      memoryBytes: this.memoryBytes,
      loaded: [...this.#loaded.values()],
      cached: cached ?? [],
      concurrency: concurrency ?? 4,
      running: this.running,
      queued: 0,
      checksFencing,
      leaving: this.leaving,
      sequence: ++this.#sequence,
    };
  }

  restart(): void {
    this.#incarnation++;
    this.#sequence = 0;
    this.#fence = 0;
    this.dropLoadedModels();
    this.#loading.clear();
  }

  dropLoadedModels(): void {
    this.#loaded.clear();
  }

  execute(order: protocol.backend.Order, random: () => number): Execution {
    if (order.incarnation !== this.incarnation) {
      return refused("wrong-incarnation");
    }
    if (this.#options.checksFencing) {
      if (order.fence < this.#fence) return refused("stale-fence");
      this.#fence = order.fence;
    }
    return order.kind === "load" || order.kind === "load-adapter"
      ? this.#load(order, random)
      : this.#unload(order);
  }

  #load(
    order: Extract<protocol.backend.Order, { bytes: number }>,
    random: () => number,
  ): Execution {
    const { model, version, bytes, timeoutMs } = order;
    const key = `${model}@${version}`;
    if (this.#loaded.has(key)) return completed();
    const rate = this.#options.rate ?? 1_000_000;
    const expectedMs = order.kind === "load" ? bytes / rate : 20;
    const durationMs = Math.ceil(expectedMs * (0.5 + 2 * random()));
    const loading = { model, version, bytes };
    this.#loading.add(loading);
    const isTooSlow = durationMs > timeoutMs;
    return {
      durationMs: Math.min(durationMs, timeoutMs),
      complete: () => {
        if (!this.#loading.delete(loading)) return undefined;
        if (isTooSlow) return { kind: "refused", reason: "failed" };
        this.#loaded.set(key, loading);
        return { kind: "done" };
      },
    };
  }

  #unload(order: protocol.backend.Order): Execution {
    const key = `${order.model}@${order.version}`;
    const { incarnation } = this;
    if (!this.#loaded.has(key)) return refused("not-loaded");
    return {
      durationMs: 20,
      complete: () => {
        if (incarnation !== this.incarnation) return undefined;
        this.#loaded.delete(key);
        return { kind: "done" };
      },
    };
  }
}

function completed(): Execution {
  return { durationMs: 1, complete: () => ({ kind: "done" }) };
}

function refused(
  reason: Extract<
    protocol.backend.OrderResult,
    { kind: "refused" }
  >["reason"],
): Execution {
  return { durationMs: 1, complete: () => ({ kind: "refused", reason }) };
}
