/**
 * Sends orders to servers and tracks them until they are complete.
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
 * Delay of the first poll after the expected completion of an order, in
 * milliseconds. Until then the server's heartbeat should report the completion.
 */
const FIRST_POLL_MS = 300;
/** Interval of the polls whether an order is complete, in milliseconds. */
const POLL_MS = 250;
/** Time after which an accepted order counts as lost, in milliseconds. */
const ORDER_TIMEOUT_MS = 30_000;
/**
 * Duration of a load, in expected durations, after which it counts as lost. With
 * twice the loads that a store serves at full speed, each takes twice as long.
 */
const MAX_LOAD_STRETCH = 3;
/** Pause after an order that a server did not accept, in milliseconds. */
const CONFLICT_PAUSE_MS = 120;
/** Pause after an order without an answer, in milliseconds. */
const UNKNOWN_PAUSE_MS = 400;
/** Time in which a server loads an adapter, in milliseconds. */
const ADAPTER_LOAD_MS = 45;
/**
 * Time without a heartbeat after which a server that doesn't answer either counts
 * as gone, in milliseconds. Heartbeats come about once a second.
 */
const GONE_MS = 4_000;
/** Pause after a failed request to a server, in milliseconds. */
const FAILURE_PAUSE_MS = 500;
/**
 * Interval of the polls whether a server has ended an order of another leader, in
 * milliseconds. A poll is a request to the server.
 */
const FOREIGN_POLL_MS = 1_000;
/** Servers that a survey asks at once. */
const SURVEYED_AT_ONCE = 8;
/** Time after which a survey holds up no load any more, in milliseconds. */
const MAX_SURVEY_MS = 2_000;
/** Expected time of an unload in ms; it is immediate once no request runs. */
const EXPECTED_UNLOAD_MS = 30;

/** Order state of one start of a server. */
class ServerOrders {
  readonly born: number;
  /** Number of orders that the server has accepted; undefined if unknown. */
  acceptedCount: number | undefined;
  current: core.gateway.ModelOrder | undefined;
  /** Whether the server has accepted the current order. */
  isAccepted = false;
  /** Monotonic time of its acceptance, in milliseconds. */
  acceptedAt = 0;
  /**
   * Monotonic time since which it executes an order that this leader doesn't
   * know, in milliseconds: of another leader, or one without an answer.
   */
  foreignSince: number | undefined;
  /** Beginning of the current load, if it is from the weight store. */
  storeMark: core.gateway.ConcurrencyMark | undefined;
  /**
   * Monotonic time at which the current order should be complete or the pause
   * before the next one ends, in milliseconds.
   */
  busyUntil = 0;
  readonly pendingAdapters = new Set<string>();
  readonly unloadingAdapters = new Set<string>();
  /** Pending adapters whose order the server has accepted. */
  readonly acceptedAdapters = new Set<string>();
  /** Settles when the last order has been sent; orders are sent in sequence. */
  lastSend: Promise<void> = Promise.resolve();

  constructor(born: number) {
    this.born = born;
  }
}

/** Options of an order executor. */
export interface OrderExecutorOptions {
  readonly client: types.EngineClient;
  readonly registry: core.gateway.ServerRegistry;
  readonly holder: string;
  readonly token: number;
  readonly metrics: metrics.GatewayMetrics;
  /** Whether this host may send orders now. */
  canSendOrders(): boolean;
  /** Capacity and models of the servers of a service. */
  engineOf(service: string): gateway.Engine | undefined;
  /** Called when a load from the weight store is complete. */
  onStoreLoad(load: core.gateway.StoreLoad): void;
  /** Called when an order has ended, with or without success. */
  onOrderFinished(): void;
}

/** Executes the orders of one leadership. */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;
  readonly #servers = new Map<string, ServerOrders>();
  readonly #storeLoads = new core.gateway.ConcurrencyMeter();
  /** Monotonic load time of each `server model`, in milliseconds. */
  readonly loadedAt = new Map<string, number>();
  /** Monotonic time until which a survey is in progress, in milliseconds. */
  #surveyUntil = -Infinity;

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
  }

  /** Orders in progress at a server. */
  status(server: gateway.Heartbeat, now: number): {
    readonly busyMs: number;
    readonly loading: string | undefined;
    readonly pendingAdapters: ReadonlySet<string>;
    readonly unloadingAdapters: ReadonlySet<string>;
  } {
    const orders = this.#ordersOf(server);
    const { current } = orders;
    const remainingMs = Math.max(
      orders.busyUntil - now,
      this.#foreignMs(server, orders, now),
    );
    return {
      busyMs: Math.max(current === undefined ? 0 : 1, remainingMs),
      loading: current?.kind === "load" ? current.model : undefined,
      pendingAdapters: orders.pendingAdapters,
      unloadingAdapters: orders.unloadingAdapters,
    };
  }

  /**
   * Expected remaining time of an order that isn't known: half of the longest
   * load, less the time since it was noticed.
   */
  #foreignMs(
    { service }: gateway.Heartbeat,
    { foreignSince }: ServerOrders,
    now: number,
  ): number {
    if (foreignSince === undefined) return 0;
    const { models = [] } = this.#options.engineOf(service) ?? {};
    const longestMs = Math.max(
      0,
      ...models.map(({ storeLoadMs }) => storeLoadMs),
    );
    return Math.max(FOREIGN_POLL_MS, longestMs / 2 - (now - foreignSince));
  }

  /** Completes the current order if a heartbeat shows its effect. */
  handleHeartbeat(heartbeat: gateway.Heartbeat): void {
    const orders = this.#ordersOf(heartbeat);
    const order = orders.current;
    if (order === undefined || !orders.isAccepted) return;
    if (!hasTakenEffect(order, heartbeat.models)) return;
    const known = this.#options.registry.get(heartbeat.id);
    if (known === undefined) return;
    // The heartbeat may be outdated; only the effect of the order is applied.
    const { inMemory, onDisk } = heartbeat;
    const models = applyModelOrder(known.models, order);
    this.#options.registry.applyReport(heartbeat, {
      models,
      inMemory,
      onDisk,
    });
    this.#completeModelOrder(heartbeat, orders, order, "heartbeat");
  }

  /**
   * Asks servers whether they execute orders of another leader, so that loads
   * from the store that it began are known.
   */
  async survey(servers: readonly gateway.Heartbeat[]): Promise<void> {
    this.#surveyUntil = performance.now() + MAX_SURVEY_MS;
    const remaining = [...servers];
    const surveyNext = async () => {
      for (let one = remaining.pop(); one; one = remaining.pop()) {
        await this.#surveyServer(one);
      }
    };
    await Promise.all(Array.from({ length: SURVEYED_AT_ONCE }, surveyNext));
    this.#surveyUntil = -Infinity;
    write("survey", {
      servers: servers.length,
      busy: this.storeLoadsAt(servers),
    });
    this.#options.onOrderFinished();
  }

  async #surveyServer(server: gateway.Heartbeat): Promise<void> {
    try {
      await this.#fetchAcceptedCount(server, this.#ordersOf(server));
    } catch (error) {
      write("no-report", { server: server.id, error });
    }
  }

  /** Whether loads of another leader may be in progress that aren't known yet. */
  isSurveying(now: number): boolean {
    return now < this.#surveyUntil;
  }

  /**
   * Number of loads from the weight store in progress. Unknown orders of other
   * leaders count as such.
   */
  get activeStoreLoads(): number {
    return [...this.#servers.values()].filter(mayLoadFromStore).length;
  }

  /** Number of these servers that load from the weight store. */
  storeLoadsAt(servers: readonly gateway.Heartbeat[]): number {
    return servers.filter((server) => mayLoadFromStore(this.#ordersOf(server)))
      .length;
  }

  /** Time until each load from the store should be complete, in ms. */
  storeLoadsMs(now: number): number[] {
    return [...this.#servers.values()].filter(isLoadingFromStore)
      .map(({ busyUntil }) => Math.max(0, busyUntil - now));
  }

  /** Number of loads from the store that take longer than at full speed. */
  overdueStoreLoads(now: number): number {
    return [...this.#servers.values()].filter(isLoadingFromStore)
      .filter(({ acceptedAt, current, isAccepted }) =>
        isAccepted && current?.kind === "load" &&
        now - acceptedAt - FIRST_POLL_MS >
          current.expectedMs * core.gateway.FULL_SPEED_STRETCH
      ).length;
  }

  /** Sends an order; its effect shows in the server registry. */
  execute(server: gateway.Heartbeat, order: core.gateway.ModelOrder): void {
    const orders = this.#ordersOf(server);
    switch (order.kind) {
      case "load":
      case "unload":
        orders.current = order;
        orders.isAccepted = false;
        orders.busyUntil = performance.now() +
          (order.kind === "load" ? order.expectedMs : EXPECTED_UNLOAD_MS);
        break;
      case "load-adapter":
        orders.pendingAdapters.add(adapterKeyOf(order));
        break;
      case "unload-adapter":
        orders.unloadingAdapters.add(adapterKeyOf(order));
        break;
      default:
        errors.assertNever(order);
    }
    if (order.kind === "unload") {
      this.#options.registry.setUnloadingModels(
        server,
        new Set([order.model]),
      );
    }
    orders.lastSend = orders.lastSend
      .then(() => this.#send(server, orders, order))
      .catch((error: unknown) => {
        write("order-failed", { server: server.id, order: order.kind, error });
        this.#finish(server, orders, order, FAILURE_PAUSE_MS);
      });
  }

  async #send(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
  ): Promise<void> {
    const hasCount = this.#options.canSendOrders() &&
      await this.#fetchAcceptedCount(server, orders);
    // The lease may have ended during the request to the server.
    const maySend = hasCount && this.#options.canSendOrders();
    if (!maySend || !this.#hasCapacity(server, orders, order)) {
      this.#finish(server, orders, order, CONFLICT_PAUSE_MS);
      return;
    }
    const expected = orders.acceptedCount ?? 0;
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
    this.#handleAnswer(server, orders, order, answer);
  }

  /**
   * Repeats the check of the planner. Orders are sent in sequence, so the
   * answers to earlier ones may have shown less capacity.
   */
  #hasCapacity(
    { id, service }: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
  ): boolean {
    const engine = this.#options.engineOf(service);
    const known = this.#options.registry.get(id);
    if (engine === undefined || known === undefined) return false;
    const pendingAdapters = new Set(orders.acceptedAdapters);
    const { models } = known;
    return core.gateway.hasCapacity(engine, { models, pendingAdapters }, order);
  }

  #handleAnswer(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
    answer: types.OrderAnswer,
  ): void {
    switch (answer.kind) {
      case "accepted":
        orders.acceptedCount = (orders.acceptedCount ?? 0) + 1;
        this.#trackAccepted(server, orders, order);
        return;
      case "holds":
        // The server was in this state before, or executed the order at once.
        // Either way, the number of orders that it has accepted is uncertain.
        orders.acceptedCount = undefined;
        this.#complete(server, orders, order, CONFLICT_PAUSE_MS);
        return;
      case "conflict":
      case "refused":
        orders.acceptedCount = undefined;
        this.#finish(server, orders, order, CONFLICT_PAUSE_MS);
        return;
      case "unknown":
        orders.acceptedCount = undefined;
        this.#finish(server, orders, order, UNKNOWN_PAUSE_MS);
        return;
      default:
        errors.assertNever(answer);
    }
  }

  /**
   * Fetches the state of a server if its number of accepted orders is unknown.
   *
   * @returns false if the server is busy
   */
  async #fetchAcceptedCount(
    server: gateway.Heartbeat,
    orders: ServerOrders,
  ): Promise<boolean> {
    if (orders.acceptedCount !== undefined) return true;
    const report = await this.#options.client.report(server);
    this.#options.registry.applyReport(server, report, performance.now());
    if (report.isBusy) void this.#awaitForeignOrder(server, orders);
    if (report.isBusy || report.pendingAdapters > 0) return false;
    orders.acceptedCount = report.orders;
    return true;
  }

  /** Polls a server until an order that this leader doesn't know has ended. */
  async #awaitForeignOrder(
    server: gateway.Heartbeat,
    orders: ServerOrders,
  ): Promise<void> {
    if (orders.foreignSince !== undefined) return;
    const since = performance.now();
    orders.foreignSince = since;
    const storeMark = this.#storeLoads.begin(since);
    let isBusy = true;
    while (isBusy && performance.now() - since < ORDER_TIMEOUT_MS) {
      await timers.setTimeout(FOREIGN_POLL_MS);
      if (!this.#isRunning(server) || !this.#options.canSendOrders()) break;
      isBusy = await this.#isBusy(server);
    }
    orders.foreignSince = undefined;
    this.#storeLoads.end(storeMark, performance.now());
    write("foreign-order-done", {
      server: server.id,
      took_ms: Math.round(performance.now() - since),
    });
    this.#options.onOrderFinished();
  }

  async #isBusy(server: gateway.Heartbeat): Promise<boolean> {
    try {
      const report = await this.#options.client.report(server);
      this.#options.registry.applyReport(server, report, performance.now());
      return report.isBusy;
    } catch (error) {
      write("no-report", { server: server.id, error });
      return !this.#isSilent(server);
    }
  }

  #trackAccepted(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
  ): void {
    switch (order.kind) {
      case "load":
        if (order.source === "store") {
          orders.storeMark = this.#storeLoads.begin(performance.now());
        }
        void this.#awaitModelOrder(server, orders, order, order.expectedMs);
        return;
      case "unload":
        void this.#awaitModelOrder(server, orders, order, 0);
        return;
      case "load-adapter":
        orders.acceptedAdapters.add(adapterKeyOf(order));
        void timers.setTimeout(ADAPTER_LOAD_MS)
          .then(() => this.#complete(server, orders, order));
        return;
      case "unload-adapter":
        // The adapter takes up capacity until its running requests have ended.
        void this.#awaitAdapterUnload(server, orders, order);
        return;
      default:
        errors.assertNever(order);
    }
  }

  async #awaitAdapterUnload(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: AdapterOrder,
  ): Promise<void> {
    const startedAt = performance.now();
    while (performance.now() - startedAt < ORDER_TIMEOUT_MS) {
      await timers.setTimeout(POLL_MS);
      if (!this.#isRunning(server)) return;
      const progress = await this.#fetchProgress(server, orders, order);
      if (progress === "complete") {
        this.#complete(server, orders, order);
        return;
      }
    }
    orders.acceptedCount = undefined;
    this.#finish(server, orders, order);
  }

  /** Polls a server until an order is complete or a heartbeat has shown it. */
  async #awaitModelOrder(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder & { kind: "load" | "unload" },
    expectedMs: number,
  ): Promise<void> {
    orders.isAccepted = true;
    orders.acceptedAt = performance.now();
    const timeoutMs = Math.max(
      ORDER_TIMEOUT_MS,
      MAX_LOAD_STRETCH * expectedMs,
    );
    await timers.setTimeout(expectedMs + FIRST_POLL_MS);
    while (performance.now() - orders.acceptedAt < timeoutMs) {
      if (orders.current !== order) return;
      if (!this.#isRunning(server)) break;
      const progress = await this.#fetchProgress(server, orders, order);
      if (orders.current !== order) return;
      if (progress === "complete") {
        return this.#completeModelOrder(server, orders, order, "report");
      }
      if (progress === "no-report" && this.#isSilent(server)) break;
      await timers.setTimeout(POLL_MS);
    }
    orders.acceptedCount = undefined;
    // A load that doesn't end in time shows a slow store as well.
    if (this.#isRunning(server) && !this.#isSilent(server)) {
      this.#recordDuration(orders, order);
    }
    write("order-lost", { server: server.id, model: order.model });
    this.#finish(server, orders, order);
  }

  #completeModelOrder(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
    from: "heartbeat" | "report",
  ): void {
    const durationMs = this.#recordDuration(orders, order);
    write("order-done", {
      server: server.id,
      order: order.kind,
      model: order.model,
      from,
      took_ms: Math.round(durationMs),
    });
    this.#complete(server, orders, order);
  }

  async #fetchProgress(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
  ): Promise<"complete" | "pending" | "no-report"> {
    try {
      const report = await this.#options.client.report(server);
      // An outdated report lacks the orders that were accepted since.
      const isCurrent = report.orders === orders.acceptedCount &&
        !report.isBusy && report.pendingAdapters === 0;
      if (!isCurrent || !hasTakenEffect(order, report.models)) return "pending";
      this.#options.registry.applyReport(server, report, performance.now());
      return "complete";
    } catch (error) {
      write("no-report", { server: server.id, error });
      return "no-report";
    }
  }

  #complete(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
    pauseMs = 0,
  ): void {
    const { registry } = this.#options;
    if (order.kind === "load") {
      const key = `${server.id} ${order.model}`;
      this.loadedAt.set(key, performance.now());
    }
    const known = registry.get(server.id);
    if (known !== undefined && "adapter" in order) {
      registry.applyReport(server, {
        ...known,
        models: applyAdapterOrder(known.models, order),
      });
    }
    this.#finish(server, orders, order, pauseMs);
  }

  /** @param pauseMs time for which the server gets no other order */
  #finish(
    server: gateway.Heartbeat,
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
    pauseMs = 0,
  ): void {
    if (orders.current === order) {
      this.#endStoreLoad(orders, performance.now());
      orders.current = undefined;
      orders.busyUntil = 0;
    }
    if (pauseMs > 0) {
      const until = performance.now() + pauseMs;
      orders.busyUntil = Math.max(orders.busyUntil, until);
    }
    if (order.kind === "unload") {
      this.#options.registry.setUnloadingModels(server, new Set());
    }
    if (order.kind === "load-adapter") {
      orders.pendingAdapters.delete(adapterKeyOf(order));
      orders.acceptedAdapters.delete(adapterKeyOf(order));
    }
    if (order.kind === "unload-adapter") {
      orders.unloadingAdapters.delete(adapterKeyOf(order));
    }
    this.#options.onOrderFinished();
  }

  /** Duration of an order so far, recorded if it is a load from the store. */
  #recordDuration(
    orders: ServerOrders,
    order: core.gateway.ModelOrder,
  ): number {
    const at = performance.now();
    const durationMs = at - orders.acceptedAt;
    const { storeMark } = orders;
    const concurrency = this.#endStoreLoad(orders, at);
    if (
      order.kind === "load" && concurrency !== undefined &&
      storeMark !== undefined
    ) {
      this.#options.onStoreLoad({
        durationMs,
        expectedMs: order.expectedMs,
        concurrency,
        concurrencyAtStart: storeMark.concurrency,
        at,
      });
    }
    return durationMs;
  }

  /** Loads from the store in progress during the one that ends, if it is one. */
  #endStoreLoad(orders: ServerOrders, now: number): number | undefined {
    const { storeMark } = orders;
    orders.storeMark = undefined;
    return storeMark && this.#storeLoads.end(storeMark, now);
  }

  #isRunning({ born, id }: gateway.Heartbeat): boolean {
    const known = this.#options.registry.get(id);
    return known?.born === born && known.state !== "ended";
  }

  #isSilent({ id }: gateway.Heartbeat): boolean {
    const { registry } = this.#options;
    return registry.timeSinceHeartbeatMs(id, performance.now()) >= GONE_MS;
  }

  #ordersOf({ born, id }: gateway.Heartbeat): ServerOrders {
    const known = this.#servers.get(id);
    if (known?.born === born) return known;
    const orders = new ServerOrders(born);
    this.#servers.set(id, orders);
    return orders;
  }
}

function isLoadingFromStore({ current }: ServerOrders): boolean {
  return current?.kind === "load" && current.source === "store";
}

function mayLoadFromStore(orders: ServerOrders): boolean {
  return orders.foreignSince !== undefined || isLoadingFromStore(orders);
}

type AdapterOrder = Extract<
  core.gateway.ModelOrder,
  { readonly kind: "load-adapter" | "unload-adapter" }
>;

/** Whether the models of a server show the effect of an order. */
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

function adapterKeyOf({ adapter, model }: AdapterOrder): string {
  return core.gateway.adapterKey(model, adapter);
}

function applyModelOrder(
  models: readonly gateway.LoadedModel[],
  { kind, model }: core.gateway.ModelOrder,
): gateway.LoadedModel[] {
  const others = models.filter(({ name }) => name !== model);
  return kind === "load"
    ? [...others, { name: model, version: 0, adapters: [] }]
    : others;
}

function applyAdapterOrder(
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
