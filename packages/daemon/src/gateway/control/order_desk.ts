/**
 * Gives orders to servers and follows them to their end.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import type * as core from "@ebonypath/core";
import { errors, type gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
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
  current: core.gateway.PagingOrder | undefined;
  /** Whether the server has accepted the current order. */
  isAccepted = false;
  /** When it did; monotonic, in milliseconds. */
  acceptedAt = 0;
  /** When the order under way is expected to be complete; monotonic, in ms. */
  busyUntil = 0;
  readonly pendingAdapters = new Set<string>();
  readonly droppedAdapters = new Set<string>();
  /** Orders are sent one after the other. */
  last: Promise<void> = Promise.resolve();

  constructor(born: number) {
    this.born = born;
  }
}

/** What the desk is told and tells. */
export interface OrderDeskOptions {
  readonly client: types.EngineClient;
  readonly roster: core.gateway.Roster;
  readonly holder: string;
  readonly token: number;
  /** Whether this host may give orders now. */
  mayOrder(): boolean;
  /** Called when a server's state has become known. */
  onSettled(): void;
}

/** Orders under way in one leadership. */
export class OrderDesk {
  readonly #options: OrderDeskOptions;
  readonly #desks = new Map<string, Desk>();
  /** When each `server model` was loaded; monotonic, in milliseconds. */
  readonly loadedAt = new Map<string, number>();

  constructor(options: OrderDeskOptions) {
    this.#options = options;
  }

  /** What is under way at a server. */
  status(server: gateway.Heartbeat, now: number): {
    readonly busyMs: number;
    readonly loading: string | undefined;
    readonly pendingAdapters: ReadonlySet<string>;
    readonly droppedAdapters: ReadonlySet<string>;
  } {
    const desk = this.#deskOf(server);
    const { current } = desk;
    return {
      busyMs: current === undefined
        ? Math.max(0, desk.busyUntil - now)
        : Math.max(1, desk.busyUntil - now),
      loading: current?.kind === "load" ? current.model : undefined,
      pendingAdapters: desk.pendingAdapters,
      droppedAdapters: desk.droppedAdapters,
    };
  }

  /** A server tells by itself when it has loaded or dropped a model. */
  hear(heartbeat: gateway.Heartbeat): void {
    const desk = this.#deskOf(heartbeat);
    const order = desk.current;
    if (order === undefined || !desk.isAccepted) return;
    const isHeld = heartbeat.models.some(({ name }) => name === order.model);
    if (isHeld !== (order.kind === "load")) return;
    const { inMemory, models, onDisk } = heartbeat;
    this.#options.roster.observe(heartbeat.id, {
      models,
      inMemory,
      onDisk,
      isBusy: false,
      orders: desk.expected ?? 0,
      pendingAdapters: 0,
    });
    this.#done(heartbeat, desk, order, "heartbeat");
  }

  /** Loads from the weight store that are under way. */
  get storeLoads(): number {
    return [...this.#desks.values()].filter(({ current }) =>
      current?.kind === "load" && current.source === "store"
    ).length;
  }

  /** Gives an order; its outcome shows in the roster. */
  give(server: gateway.Heartbeat, order: core.gateway.PagingOrder): void {
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
        desk.droppedAdapters.add(adapterOf(order));
        break;
      default:
        errors.assertNever(order);
    }
    if (order.kind === "unload") {
      this.#options.roster.setLeaving(server.id, new Set([order.model]));
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
    order: core.gateway.PagingOrder,
  ): Promise<void> {
    if (!this.#options.mayOrder() || !await this.#learn(server, desk)) {
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

  #follow(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.PagingOrder,
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
    this.#options.roster.observe(server.id, report);
    if (report.isBusy || report.pendingAdapters > 0) return false;
    desk.expected = report.orders;
    return true;
  }

  #accepted(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.PagingOrder,
  ): void {
    switch (order.kind) {
      case "load":
        void this.#await(server, desk, order, order.expectedMs);
        return;
      case "unload":
        void this.#await(server, desk, order, 0);
        return;
      case "load-adapter":
        void timers.setTimeout(ADAPTER_MS)
          .then(() => this.#complete(server, desk, order));
        return;
      case "unload-adapter":
        this.#complete(server, desk, order);
        return;
      default:
        errors.assertNever(order);
    }
  }

  /** Asks a server whether it has carried an order out, unless it told. */
  async #await(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.PagingOrder & { kind: "load" | "unload" },
    expectedMs: number,
  ): Promise<void> {
    desk.isAccepted = true;
    desk.acceptedAt = performance.now();
    await timers.setTimeout(expectedMs + FIRST_POLL_MS);
    while (performance.now() - desk.acceptedAt < ORDER_TIMEOUT_MS) {
      if (desk.current !== order) return;
      if (!this.#isKnown(server)) break;
      const isDone = await this.#isDone(server, order);
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
    order: core.gateway.PagingOrder,
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
    order: core.gateway.PagingOrder & { kind: "load" | "unload" },
  ): Promise<boolean> {
    try {
      const report = await this.#options.client.report(server);
      const isHeld = report.models.some(({ name }) => name === order.model);
      if (report.isBusy || isHeld !== (order.kind === "load")) return false;
      this.#options.roster.observe(server.id, report);
      return true;
    } catch (error) {
      write("no-report", { server: server.id, error });
      return false;
    }
  }

  #complete(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.PagingOrder,
    pauseMs = 0,
  ): void {
    const { roster } = this.#options;
    if (order.kind === "load") {
      const key = `${server.id} ${order.model}`;
      this.loadedAt.set(key, performance.now());
    }
    const known = roster.get(server.id);
    if (known !== undefined && "adapter" in order) {
      roster.observe(server.id, {
        ...known,
        models: withAdapter(known.models, order),
        isBusy: false,
        orders: desk.expected ?? 0,
        pendingAdapters: 0,
      });
    }
    this.#release(server, desk, order, pauseMs);
  }

  /** @param pauseMs time for which the server gets no other order */
  #release(
    server: gateway.Heartbeat,
    desk: Desk,
    order: core.gateway.PagingOrder,
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
      this.#options.roster.setLeaving(server.id, new Set());
    }
    if (order.kind === "load-adapter") {
      desk.pendingAdapters.delete(adapterOf(order));
    }
    if (order.kind === "unload-adapter") {
      desk.droppedAdapters.delete(adapterOf(order));
    }
    this.#options.onSettled();
  }

  #isKnown({ born, id }: gateway.Heartbeat): boolean {
    const known = this.#options.roster.get(id);
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
  core.gateway.PagingOrder,
  { readonly kind: "load-adapter" | "unload-adapter" }
>;

function adapterOf({ adapter, model }: AdapterOrder): string {
  return `${model}/${adapter}`;
}

function withAdapter(
  models: readonly gateway.HeldModel[],
  { adapter, kind, model }: AdapterOrder,
): gateway.HeldModel[] {
  return models.map((held) => {
    if (held.name !== model) return held;
    const others = held.adapters.filter((one) => one !== adapter);
    const adapters = kind === "load-adapter" ? [...others, adapter] : others;
    return { ...held, adapters };
  });
}
