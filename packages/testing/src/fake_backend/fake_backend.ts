import * as crypto from "node:crypto";
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import type { backend } from "@ebonypath/protocol";
import * as accelerator from "./accelerator.ts";
import * as announcer from "./announcer.ts";
import * as engine from "./engine.ts";
import * as httpBody from "./http_body.ts";
import * as journal from "./journal.ts";
import * as loadReport from "./load_report.ts";
import * as orderDesk from "./order_desk.ts";
import * as plainService from "./plain_service.ts";
import type * as types from "./types.ts";
import * as weightStore from "./weight_store.ts";

/** Accelerator memory unless the options say otherwise, in bytes. */
const MEMORY_BYTES = 80 * 2 ** 30;
/** Headers in which a caller's key could arrive. */
const KEY_HEADERS = ["authorization", "x-api-key", "cookie"];

const NO_FAULTS: types.Faults = {
  crashMarker: undefined,
  crashOnLoad: undefined,
  lateMs: 0,
  crossed: false,
  silentStreams: false,
  cutStreams: false,
  lostAnswers: false,
  lostOrderAnswers: false,
  refusesRequests: false,
  refusesOrders: undefined,
  pausesAnnouncements: false,
  reportLagMs: 0,
};

/** A stand-in for a model engine or a plain service, with fault switches. */
export class FakeBackend {
  readonly id: string;
  readonly faults: types.Faults;
  readonly journal = new journal.Journal();
  readonly #options: types.FakeBackendOptions;
  readonly #sockets = new Set<net.Socket>();
  readonly #load = new loadReport.LoadReport();
  readonly #accelerator: accelerator.Accelerator;
  readonly #engine: engine.Engine;
  readonly #plain: plainService.PlainService;
  #orders: orderDesk.OrderDesk;
  #server: http.Server | undefined;
  #announcer: announcer.Announcer | undefined;
  #incarnation: string;
  #port: number;
  #sequence = 0;
  #leaving = false;
  #successes = 0;
  #entries: readonly string[];

  constructor(options: types.FakeBackendOptions) {
    this.id = options.id;
    this.#options = options;
    this.#incarnation = options.incarnation ?? newIncarnation();
    this.#port = options.port ?? 0;
    this.#entries = options.entries ?? [];
    this.faults = { ...NO_FAULTS, ...options.faults };
    this.#accelerator = this.#createAccelerator();
    this.#engine = new engine.Engine({
      accelerator: this.#accelerator,
      faults: this.faults,
      generatedTokens: options.generatedTokens ?? 4,
      firstTokenMs: options.firstTokenMs ?? 0,
      tokenMs: options.tokenMs ?? 0,
    });
    this.#plain = new plainService.PlainService({
      faults: this.faults,
      journal: this.journal,
      incarnation: () => this.#incarnation,
      callMs: options.callMs ?? 0,
    });
    this.#orders = this.#createOrderDesk();
  }

  get address(): string {
    return `http://127.0.0.1:${this.#port}`;
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  get isRunning(): boolean {
    return this.#server !== undefined;
  }

  /** Requests in flight. */
  get running(): number {
    return this.#load.running;
  }

  get loaded(): backend.LoadedModel[] {
    return this.#accelerator.loaded;
  }

  get usedBytes(): number {
    return this.#accelerator.usedBytes;
  }

  /** Announcements accepted by entry hosts since the last start. */
  get acceptedAnnouncements(): number {
    return this.#announcer?.accepted ?? 0;
  }

  /** Why the last announcement was not accepted, if it was not. */
  get announcementFailure(): string | undefined {
    return this.#announcer?.lastFailure;
  }

  /** Turns all fault switches off. */
  clearFaults(): void {
    Object.assign(this.faults, NO_FAULTS);
  }

  /** Listens and announces, under the same port after the first start. */
  async start(): Promise<void> {
    const server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    server.listen(this.#port, "127.0.0.1");
    await once(server, "listening");
    this.#server = server;
    this.#port = (server.address() as net.AddressInfo).port;
    this.#announcer = new announcer.Announcer({
      entries: this.#entries,
      joinToken: this.#options.joinToken ?? "",
      intervalMs: this.#options.announceIntervalMs ?? 1_000,
      isPaused: () => this.faults.pausesAnnouncements,
      describe: () => this.describe(),
    });
  }

  /** Dies at once: every socket is destroyed and nothing listens. */
  async crash(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    for (const call of this.journal.calls) {
      if (call.outcome === "running") call.outcome = "crashed";
    }
    this.#accelerator.clear();
    server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    const stopping = this.#announcer;
    this.#announcer = undefined;
    await stopping?.stop();
  }

  /** Starts again under a new incarnation, with nothing loaded. */
  async restart(): Promise<void> {
    await this.crash();
    this.#incarnation = newIncarnation();
    this.#sequence = 0;
    this.#successes = 0;
    this.#leaving = false;
    this.#orders = this.#createOrderDesk();
    await this.start();
  }

  /** Loses every loaded model; the next announcement tells. */
  turnCold(): void {
    this.#accelerator.clear();
    this.#successes = 0;
  }

  /** Announces that the server is about to stop. */
  leave(): void {
    this.#leaving = true;
    this.announce();
  }

  /** Announces now. */
  announce(): void {
    this.#announcer?.announce();
  }

  /** Changes the entry hosts to which the server announces itself. */
  setEntries(entries: readonly string[]): void {
    this.#entries = entries;
    if (this.#announcer !== undefined) this.#announcer.entries = entries;
    this.announce();
  }

  /** Returns the next announcement. */
  describe(): backend.Announcement {
    const options = this.#options;
    this.#sequence += 1;
    return {
      id: this.id,
      incarnation: this.#incarnation,
      address: options.announcedAddress ?? this.address,
      failureDomain: options.failureDomain ?? "fd-1",
      kind: options.kind ?? "engine",
      services: [...options.services ?? []],
      memoryBytes: options.memoryBytes ?? MEMORY_BYTES,
      loaded: this.#accelerator.loaded,
      cached: this.#accelerator.cached,
      concurrency: this.#concurrency,
      running: this.#load.runningBefore(this.faults.reportLagMs),
      queued: 0,
      checksFencing: options.checksFencing ?? true,
      leaving: this.#leaving,
      sequence: this.#sequence,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.crash();
  }

  get #concurrency(): number {
    return this.#options.concurrency ?? 16;
  }

  /** Requests that the server bears at present without falling over. */
  get #bearable(): number {
    const warmUp = this.#options.warmUp;
    if (warmUp === undefined) return Infinity;
    return warmUp.start + warmUp.perSuccess * this.#successes;
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#checkKeys(request);
    const path = request.url ?? "/";
    if (path === "/livez") return httpBody.sendJson(response, 200, {});
    const body = await httpBody.readText(request);
    // A plain service loads nothing; `/orders` is a path like any other there.
    if (path === "/orders" && this.#options.kind !== "plain") {
      return await this.#orders.handle(body, response);
    }
    const call = receivedCall(request, body);
    this.journal.addCall(call);
    if (!this.#admit(call, response)) return;
    await this.#run(call, response);
  }

  /** Refuses or crashes where the server would; otherwise returns true. */
  #admit(call: types.ReceivedCall, response: http.ServerResponse): boolean {
    const { crashMarker, refusesRequests } = this.faults;
    if (crashMarker !== undefined && call.body.includes(crashMarker)) {
      void this.crash();
      return false;
    }
    const isFull = this.#load.running >= this.#concurrency;
    if (isFull) {
      this.journal.addViolation(
        "too-many-running",
        `${this.id}: more than ${this.#concurrency}`,
      );
    }
    if (isFull || refusesRequests) {
      call.outcome = "refused";
      const code = isFull ? "overloaded" : "refused";
      httpBody.sendNotStarted(response, 503, code, call.requestId);
      return false;
    }
    if (this.#load.running >= this.#bearable) {
      this.journal.addViolation(
        "overloaded-when-fresh",
        `${this.id}: more than ${this.#bearable}`,
      );
      void this.crash();
      return false;
    }
    return true;
  }

  async #run(
    call: types.ReceivedCall,
    response: http.ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    response.once("close", () => closed.abort());
    this.#load.add(1);
    const handler = this.#options.kind === "plain" ? this.#plain : this.#engine;
    try {
      await handler.answer({ call, response, signal: closed.signal });
      if (call.outcome === "answered") this.#successes += 1;
    } catch (error) {
      if (call.outcome === "running") call.outcome = "cancelled";
      throw error;
    } finally {
      this.#load.add(-1);
    }
  }

  #checkKeys(request: http.IncomingMessage): void {
    for (const name of KEY_HEADERS) {
      if (request.headers[name] === undefined) continue;
      this.journal.addViolation("key-seen", `${this.id}: header ${name}`);
    }
    const seen = `${request.url}\n${request.rawHeaders.join("\n")}`;
    for (const key of this.#options.knownKeys ?? []) {
      if (!seen.includes(key)) continue;
      this.journal.addViolation("key-seen", `${this.id}: a known key`);
    }
  }

  #createAccelerator(): accelerator.Accelerator {
    const options = this.#options;
    return new accelerator.Accelerator({
      memoryBytes: options.memoryBytes ?? MEMORY_BYTES,
      loaded: options.loaded ?? [],
      cached: options.cached ?? [],
      loadTimes: {
        memoryMs: 20,
        diskMs: 100,
        storeMs: 400,
        ...options.loadTimes,
      },
      unloadMs: options.unloadMs ?? 5,
      store: options.store ?? new weightStore.WeightStore(),
      journal: this.journal,
      onChange: () => this.announce(),
    });
  }

  #createOrderDesk(): orderDesk.OrderDesk {
    return new orderDesk.OrderDesk({
      accelerator: this.#accelerator,
      faults: this.faults,
      journal: this.journal,
      checksFencing: this.#options.checksFencing ?? true,
      incarnation: () => this.#incarnation,
      isLeaving: () => this.#leaving,
      crash: () => void this.crash(),
    });
  }
}

/**
 * Starts a fake backend server on 127.0.0.1.
 *
 * @example
 * ```ts
 * await using fake = await startFakeBackend({
 *   id: "runner-1",
 *   services: ["advice"],
 *   entries: ["http://127.0.0.1:7101"],
 *   joinToken: "join",
 * });
 * ```
 */
export async function startFakeBackend(
  options: types.FakeBackendOptions,
): Promise<FakeBackend> {
  const fake = new FakeBackend(options);
  await fake.start();
  return fake;
}

function newIncarnation(): string {
  return `i${crypto.randomBytes(6).toString("hex")}`;
}

function receivedCall(
  request: http.IncomingMessage,
  body: string,
): types.ReceivedCall {
  return {
    requestId: headerOf(request, "x-request-id"),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    model: modelOf(body),
    body,
    priority: headerOf(request, "x-ebonypath-priority"),
    headers: request.headers,
    outcome: "running",
  };
}

function headerOf(
  request: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function modelOf(body: string): string | undefined {
  try {
    const { model } = JSON.parse(body) as { model?: unknown };
    return typeof model === "string" ? model : undefined;
  } catch {
    return undefined;
  }
}
