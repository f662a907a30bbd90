/**
 * Gives orders to servers and follows them to their end.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import { errors, type gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import type * as types from "./types.ts";

const write = log.createLog("orders");

/**
 * Time after the expected end of an order at which the server is asked, if it
 * has not told by itself, in milliseconds.
 */
const FIRST_POLL_MS = 300;
/** Time between two questions whether an order is complete, in ms. */
const POLL_MS = 250;
/** Time after which an order counts as lost, in milliseconds. */
const ORDER_TIMEOUT_MS = 30_000;
/** Pause after an order that a server did not take, in milliseconds. */
const CONFLICT_PAUSE_MS = 120;
/** Pause after an order without an answer, in milliseconds. */
const UNKNOWN_PAUSE_MS = 400;
/** Time for a server to fetch an adapter, in milliseconds. */
const ADAPTER_MS = 45;
/** Pause after a failure to talk to a server, in milliseconds. */
const FAILURE_PAUSE_MS = 500;
/** A model that is dropped takes no time once nothing runs, in ms. */
const UNLOAD_POLL_MS = 30;

/** What the desk knows of one start of a server. */
class Desk {
  readonly born: number;
  /** Orders that the server has accepted; unknown before the first report. */
  expected: number | undefined;
  current: core.gateway.ModelOrder | undefined;
  /** Whether the server has accepted the current order. */
  isAccepted = false;
  /** When it did; monotonic, in milliseconds. */
  acceptedAt = 0;
  /** When the order under way is expected to be complete; monotonic, in ms. */
  busyUntil = 0;
  readonly pendingAdapters = new Set<string>();
  readonly unloadingAdapters = new Set<string>();
  /** Those on their way whose order was accepted. */
  readonly sentAdapters = new Set<string>();
  /** Orders are sent one after the other. */
  last: Promise<void> = Promise.resolve();

  constructor(born: number) {
    this.born = born;
  }
}

/** What the desk is told and tells. */
export interface OrderExecutorOptions {
  readonly client: types.EngineClient;
  readonly registry: core.gateway.ServerRegistry;
  readonly holder: string;
  readonly token: number;
  readonly metrics: metrics.GatewayMetrics;
  /** Whether this host may give orders now. */
  canSendOrders(): boolean;
  /** How the servers of a service hold models. */
  engineOf(service: string): gateway.Engine | undefined;
  /** Called when a server's state has become known. */
  onOrderFinished(): void;
}

/** Orders under way in one leadership. */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;
  readonly #desks = new Map<string, Desk>();
  /** When each `server model` was loaded; monotonic, in milliseconds. */
  readonly loadedAt = new Map<string, number>();

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
  }

  /** What is under way at a server. */
  status(server: gateway.Heartbeat, now: number): {
    readonly busyMs: number;
    readonly loading: string | undefined;
    readonly pendingAdapters: ReadonlySet<string>;
    readonly unloadingAdapters: ReadonlySet<string>;
  } {
    const desk = this.#deskOf(server);
    const { current } = desk;
    return {
      busyMs: current === undefined
        ? Math.max(0, desk.busyUntil - now)
        : Math.max(1, desk.busyUntil - now),
      loading: current?.kind === "load" ? current.model : undefined,
      pendingAdapters: desk.pendingAdapters,
      unloadingAdapters: desk.unloadingAdapters,
    };
  }

  /** A server tells by itself when it has loaded or dropped a model. */
  handleHeartbeat(heartbeat: gateway.Heartbeat): void {
    const desk = this.#deskOf(heartbeat);
    const order = desk.current;
    if (order === undefined || !desk.isAccepted) return;
    if (!hasTakenEffect(order, heartbeat.models)) return;
    const known = this.#options.registry.get(heartbeat.id);
    if (known === undefined) return;
    // The heartbeat may be old: only what was ordered is taken from it.
    const { inMemory, onDisk } = heartbeat;
    const models = withModel(known.models, order);
    this.#options.registry.applyReport(heartbeat.id, {
      models,
      inMemory,
      onDisk,
    });
    this.#done(heartbeat, desk, order, "heartbeat");
  }

  /** Loads from the weight store that are under way. */
  get activeStoreLoads(): number {
    return [...this.#desks.values()].filter(({ current }) =>
      current?.kind === "load" && current.source === "store"
    ).length;
  }

  /** Gives an order; its outcome shows in the roster. */
  execute(server: gateway.Heartbeat, order: core.gateway.ModelOrder): void {
    const desk = this.#deskOf(server);
    switch (order.kind) {
      case "load":
      case "unload":
        desk.current = order;
        desk.isAccepted = false;
        desk.busyUntil = performance.now() +
          (order.kind === "load" ? order.expectedMs : UNLOAD_POLL_MS);
        break;
      case "load-adapter":
        desk.pendingAdapters.add(adapterOf(order));
        break;
      case "unload-adapter":
        desk.unloadingAdapters.add(adapterOf(order));
        break;
      default:
        errors.assertNever(order);
    }
    if (order.kind === "unload") {
      this.#options.registry.setUnloadingModels(
        server.id,
        new Set([order.model]),
      );
    }
    desk.last = desk.last
      .then(() => this.#carryOut(server, desk, order))
      .catch((error: unknown) => {
        write("order-failed", { server: server.id, order: order.kind, error });
        this.#release(server, desk, order, FAILURE_PAUSE_MS);
      });
  }

  async #carryOut(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
  ): Promise<void> {
    const isKnown = this.#options.canSendOrders() &&
      await this.#learn(server, desk);
    // The lease may have ended while the server was asked.
    const mayOrder = isKnown && this.#options.canSendOrders();
    if (!mayOrder || !this.#hasRoom(server, desk, order)) {
      this.#release(server, desk, order, CONFLICT_PAUSE_MS);
      return;
    }
    const expected = desk.expected ?? 0;
    const { client, holder, token } = this.#options;
    const sentAt = performance.now();
    const answer = await client.order(server, order, {
      holder,
      token,
      expected,
    });
    this.#options.metrics.orders.inc({
      order: order.kind,
      answer: answer.kind,
    });
    write("order", {
      server: server.id,
      order: order.kind,
      model: order.model,
      adapter: "adapter" in order ? order.adapter : undefined,
      source: "source" in order ? order.source : undefined,
      expected,
      fence: token,
      answer: answer.kind,
      took_ms: Math.round(performance.now() - sentAt),
    });
    this.#follow(server, desk, order, answer);
  }

  /** Orders wait behind others, whose answers may have told of less room. */
  #hasRoom(
    { id, service }: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
  ): boolean {
    const engine = this.#options.engineOf(service);
    const known = this.#options.registry.get(id);
    if (engine === undefined || known === undefined) return false;
    const pendingAdapters = new Set(desk.sentAdapters);
    const { models } = known;
    return core.gateway.hasCapacity(engine, { models, pendingAdapters }, order);
  }

  #follow(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
    answer: types.OrderAnswer,
  ): void {
    switch (answer.kind) {
      case "accepted":
        desk.expected = (desk.expected ?? 0) + 1;
        this.#accepted(server, desk, order);
        return;
      case "holds":
        // Whether it was so before or was done at once, the number of orders
        // that the server has accepted is not certain any more.
        desk.expected = undefined;
        this.#complete(server, desk, order, CONFLICT_PAUSE_MS);
        return;
      case "conflict":
      case "refused":
        desk.expected = undefined;
        this.#release(server, desk, order, CONFLICT_PAUSE_MS);
        return;
      case "unknown":
        desk.expected = undefined;
        this.#release(server, desk, order, UNKNOWN_PAUSE_MS);
        return;
      default:
        errors.assertNever(answer);
    }
  }

  /** Asks a server for its state when it is not known; false if it is busy. */
  async #learn(server: gateway.Heartbeat, desk: Desk): Promise<boolean> {
    if (desk.expected !== undefined) return true;
    const report = await this.#options.client.report(server);
    this.#options.registry.applyReport(server.id, report);
    if (report.isBusy || report.pendingAdapters > 0) return false;
    desk.expected = report.orders;
    return true;
  }

  #accepted(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
  ): void {
    switch (order.kind) {
      case "load":
        void this.#await(server, desk, order, order.expectedMs);
        return;
      case "unload":
        void this.#await(server, desk, order, 0);
        return;
      case "load-adapter":
        desk.sentAdapters.add(adapterOf(order));
        void timers.setTimeout(ADAPTER_MS)
          .then(() => this.#complete(server, desk, order));
        return;
      case "unload-adapter":
        // It is in use: its place is free only when its requests have ended.
        void this.#awaitDrop(server, desk, order);
        return;
      default:
        errors.assertNever(order);
    }
  }

  async #awaitDrop(
    server: gateway.Heartbeat,
    desk: Desk,
    order: AdapterOrder,
  ): Promise<void> {
    const begun = performance.now();
    while (performance.now() - begun < ORDER_TIMEOUT_MS) {
      await timers.setTimeout(POLL_MS);
      if (!this.#isKnown(server)) return;
      if (await this.#isDone(server, desk, order)) {
        this.#complete(server, desk, order);
        return;
      }
    }
    desk.expected = undefined;
    this.#release(server, desk, order);
  }

  /** Asks a server whether it has carried an order out, unless it told. */
  async #await(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder & { kind: "load" | "unload" },
    expectedMs: number,
  ): Promise<void> {
    desk.isAccepted = true;
    desk.acceptedAt = performance.now();
    await timers.setTimeout(expectedMs + FIRST_POLL_MS);
    while (performance.now() - desk.acceptedAt < ORDER_TIMEOUT_MS) {
      if (desk.current !== order) return;
      if (!this.#isKnown(server)) break;
      const isDone = await this.#isDone(server, desk, order);
      if (desk.current !== order) return;
      if (isDone) return this.#done(server, desk, order, "report");
      await timers.setTimeout(POLL_MS);
    }
    desk.expected = undefined;
    write("order-lost", { server: server.id, model: order.model });
    this.#release(server, desk, order);
  }

  #done(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
    from: "heartbeat" | "report",
  ): void {
    write("order-done", {
      server: server.id,
      order: order.kind,
      model: order.model,
      from,
      took_ms: Math.round(performance.now() - desk.acceptedAt),
    });
    this.#complete(server, desk, order);
  }

  async #isDone(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
  ): Promise<boolean> {
    try {
      const report = await this.#options.client.report(server);
      // A report of a moment ago lacks what was ordered since.
      const isCurrent = report.orders === desk.expected && !report.isBusy &&
        report.pendingAdapters === 0;
      if (!isCurrent || !hasTakenEffect(order, report.models)) return false;
      this.#options.registry.applyReport(server.id, report);
      return true;
    } catch (error) {
      write("no-report", { server: server.id, error });
      return false;
    }
  }

  #complete(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
    pauseMs = 0,
  ): void {
    const { registry: roster } = this.#options;
    if (order.kind === "load") {
      const key = `${server.id} ${order.model}`;
      this.loadedAt.set(key, performance.now());
    }
    const known = roster.get(server.id);
    if (known !== undefined && "adapter" in order) {
      roster.applyReport(server.id, {
        ...known,
        models: withAdapter(known.models, order),
      });
    }
    this.#release(server, desk, order, pauseMs);
  }

  /** @param pauseMs time for which the server gets no other order */
  #release(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.ModelOrder,
    pauseMs = 0,
  ): void {
    if (desk.current === order) {
      desk.current = undefined;
      desk.busyUntil = 0;
    }
    if (pauseMs > 0) {
      const until = performance.now() + pauseMs;
      desk.busyUntil = Math.max(desk.busyUntil, until);
    }
    if (order.kind === "unload") {
      this.#options.registry.setUnloadingModels(server.id, new Set());
    }
    if (order.kind === "load-adapter") {
      desk.pendingAdapters.delete(adapterOf(order));
      desk.sentAdapters.delete(adapterOf(order));
    }
    if (order.kind === "unload-adapter") {
      desk.unloadingAdapters.delete(adapterOf(order));
    }
    this.#options.onOrderFinished();
  }

  #isKnown({ born, id }: gateway.Heartbeat): boolean {
    const known = this.#options.registry.get(id);
    return known?.born === born && known.state !== "ended";
  }

  #deskOf({ born, id }: gateway.Heartbeat): Desk {
    const known = this.#desks.get(id);
    if (known?.born === born) return known;
    const desk = new Desk(born);
    this.#desks.set(id, desk);
    return desk;
  }
}

type AdapterOrder = Extract<
  core.gateway.ModelOrder,
  { readonly kind: "load-adapter" | "unload-adapter" }
>;

/** Whether a server that holds these models has carried an order out. */
function hasTakenEffect(
  order: core.gateway.ModelOrder,
  models: readonly gateway.LoadedModel[],
): boolean {
  const held = models.find(({ name }) => name === order.model);
  switch (order.kind) {
    case "load":
      return held !== undefined;
    case "unload":
      return held === undefined;
    case "load-adapter":
      return held?.adapters.includes(order.adapter) ?? false;
    case "unload-adapter":
      return !(held?.adapters.includes(order.adapter) ?? false);
    default:
      return errors.assertNever(order);
  }
}

function adapterOf({ adapter, model }: AdapterOrder): string {
  return core.gateway.adapterKey(model, adapter);
}

function withModel(
  models: readonly gateway.LoadedModel[],
  { kind, model }: core.gateway.ModelOrder,
): gateway.LoadedModel[] {
  const others = models.filter(({ name }) => name !== model);
  return kind === "load"
    ? [...others, { name: model, version: 0, adapters: [] }]
    : others;
}

function withAdapter(
  models: readonly gateway.LoadedModel[],
  { adapter, kind, model }: AdapterOrder,
): gateway.LoadedModel[] {
  return models.map((held) => {
    if (held.name !== model) return held;
    const others = held.adapters.filter((one) => one !== adapter);
    const adapters = kind === "load-adapter" ? [...others, adapter] : others;
    return { ...held, adapters };
  });
}
