/**
 * An entry host of a gateway fleet.
 *
 * @module
 */
import type * as http from "node:http";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as fleet from "../../fleet/mod.ts";
import * as log from "../../log/mod.ts";
import * as resources from "../../resources/mod.ts";
import type * as metrics from "../metrics.ts";
import * as dispatcher from "./dispatcher.ts";
import * as fleetView from "./fleet_view.ts";
import * as follower from "./follower.ts";
import * as placement from "./placement.ts";
import * as reception from "./reception.ts";
import * as retries from "./retries.ts";
import * as serverBook from "./server_book.ts";
import type * as types from "./types.ts";

const write = log.createLog("entry");

/** What an entry host is made of. */
export interface EntryHostOptions {
  /** Name and start of the host. */
  readonly host: string;
  readonly dialect: types.Dialect;
  readonly rpcClient: fleet.RpcClient;
  /** Fleet addresses of control hosts to begin with. */
  seeds(): readonly string[];
  readonly retries: retries.FleetRetries;
  readonly metrics: metrics.GatewayMetrics;
}

/** Takes callers' requests and sends them to servers. */
export class EntryHost implements AsyncDisposable {
  readonly view = new fleetView.FleetView();
  // The leader drops models on which nothing runs: it has to know soon.
  readonly #book = new serverBook.ServerBook(() => this.#follower.request());
  readonly #meter = new core.gateway.SharedRateLimiter();
  readonly #cold = new core.gateway.ColdServerLimiter();
  readonly #placement: placement.Placement;
  readonly #retries: retries.Retries;
  readonly #reception: reception.Reception;
  readonly #follower: follower.Follower;
  readonly #metrics: metrics.GatewayMetrics;
  readonly #resources = new resources.ResourceStack();
  /** Arrivals since the last report, by service, model and adapter. */
  #arrivals = new Map<string, ArrivalCount>();

  constructor(options: EntryHostOptions) {
    const { dialect, host, rpcClient, seeds } = options;
    this.#metrics = options.metrics;
    this.#follower = this.#resources.use(
      new follower.Follower({
        host,
        leader: new fleet.LeaderClient(rpcClient, seeds),
        view: this.view,
        collect: () => this.#collect(),
        onAnswer: (answer) => this.#onAnswer(host, answer),
      }),
    );
    this.#placement = this.#resources.use(
      new placement.Placement({
        view: this.view,
        book: this.#book,
        cold: this.#cold,
        onWaiting: () => this.#follower.request(),
      }),
    );
    this.#retries = new retries.Retries(options.retries);
    this.#reception = new reception.Reception({
      dialect,
      view: this.view,
      meter: this.#meter,
      dispatcher: new dispatcher.Dispatcher({
        dialect,
        placement: this.#placement,
        book: this.#book,
        retries: this.#retries,
        metrics: options.metrics,
      }),
      onArrival: (work) => this.#count(work),
    });
    this.view.on(
      "configuration",
      (configuration) => this.#apply(configuration),
    );
    this.view.on("change", () => this.#forget());
  }

  start(): void {
    this.#follower.start();
  }

  /** Whether the host can serve requests. */
  get isReady(): boolean {
    return this.view.configuration !== null;
  }

  /** Requests without a final answer. */
  get open(): number {
    return this.#reception.open;
  }

  /** Handles a request of a caller. */
  handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    return this.#reception.handle(request, response);
  }

  /** Sets the gauges, before they are read. */
  updateMetrics(): void {
    const { answeredAt, configuration } = this.view;
    const ageMs = performance.now() - answeredAt;
    this.#metrics.waiting.set([...this.#placement.waiting()].length);
    this.#metrics.version.set(configuration?.version ?? 0);
    if (Number.isFinite(ageMs)) this.#metrics.leaderAge.set(ageMs / 1_000);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#resources[Symbol.asyncDispose]();
  }

  #apply({ version, workspaces = [] }: gateway.Configuration): void {
    const now = performance.now();
    const limited = workspaces.filter(({ rate }) => rate !== undefined);
    this.#meter.retainWorkspaces(new Set(limited.map(({ name }) => name)));
    for (const { name, rate } of limited) {
      if (rate !== undefined) this.#meter.setRate(name, rate, now);
    }
    write("configured", { version });
  }

  #forget(): void {
    const known = this.view.records(performance.now()).map(({ id }) => id);
    this.#book.retain(new Set(known));
  }

  #onAnswer(host: string, answer: gateway.ReportResponse): void {
    const others = answer.usage.filter((one) => one.host !== host);
    this.#meter.applyRemoteUsage(others, performance.now());
    this.#retries.setHosts(answer.hosts.length);
    this.#cold.setHosts(answer.hosts, host);
    this.#book.observe(answer.load);
  }

  #count({ facts, service }: types.Work): void {
    const { adapter, model } = facts;
    if (service.engine === undefined || model === undefined) return;
    const key = demandKey(service.name, model, adapter);
    const known = this.#arrivals.get(key) ??
      { service: service.name, model, adapter, count: 0 };
    known.count += 1;
    this.#arrivals.set(key, known);
  }

  #collect(): follower.Collected {
    const arrivals = this.#arrivals;
    this.#arrivals = new Map();
    return {
      demand: this.#demand(arrivals),
      usage: this.#meter.usage(),
      load: this.#book.load(),
    };
  }

  #demand(
    arrivals: ReadonlyMap<string, ArrivalCount>,
  ): gateway.ModelDemand[] {
    const now = performance.now();
    const demands = new Map<string, gateway.ModelDemand>();
    const demandOf = (
      service: string,
      model: string,
      adapter: string | undefined,
    ) => {
      const key = demandKey(service, model, adapter);
      const known = demands.get(key) ?? {
        service,
        model,
        ...(adapter === undefined ? {} : { adapter }),
        slacksMs: [],
        running: 0,
        arrivals: 0,
      };
      demands.set(key, known);
      return known;
    };
    for (const { adapter, count, model, service } of arrivals.values()) {
      demandOf(service, model, adapter).arrivals += count;
    }
    for (
      const { facts, route, service, arrivedAt } of this.#placement.waiting()
    ) {
      if (facts.model === undefined || service.engine === undefined) continue;
      const demand = demandOf(service.name, facts.model, facts.adapter);
      demand.slacksMs.push(Math.round(arrivedAt + route.targetMs - now));
    }
    for (const { adapter, count, model, server } of this.#book.models()) {
      const service = this.view.server(server)?.record.service;
      if (service === undefined || model === undefined) continue;
      demandOf(service, model, adapter).running += count;
    }
    return [...demands.values()];
  }
}

/** Requests for a model that have arrived. */
type ArrivalCount = {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  count: number;
};

function demandKey(
  service: string,
  model: string,
  adapter: string | undefined,
): string {
  return `${service} ${model} ${adapter ?? ""}`;
}
