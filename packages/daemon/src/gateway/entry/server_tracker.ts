/**
 * Tracks the requests in flight at each server and the failures of servers, as
 * observed by this host.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as serverTokens from "./server_tokens.ts";
import type * as types from "./types.ts";

/** Time for which the first failure ejects a server, in milliseconds. */
const BASE_EJECTION_MS = 250;
/** Longest ejection, in milliseconds. */
const MAX_EJECTION_MS = 4_000;
/**
 * Time for which a model counts as missing after the server has denied holding
 * it, in milliseconds.
 */
const MISSING_MODEL_MS = 150;
/**
 * Age from which on the requests of other hosts at a server are unknown, in ms:
 * the longest interval of the reports that the leader answers with them.
 */
const MAX_FLEET_LOAD_AGE_MS = 2_000;

/** Failures in a row of one server. */
type FailureRecord = {
  failures: number;
  /** Monotonic time, in milliseconds. */
  ejectedUntil: number;
};

/** Requests in flight for one model, or for a plain service, at one server. */
type InFlight = {
  readonly server: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  count: number;
};

/** Requests of other hosts at one server. */
type FleetLoad = {
  readonly others: number;
  /** Slots kept for callers that were told to come back. */
  readonly kept: number;
  /** Monotonic time at which the leader told it, in milliseconds. */
  readonly toldAt: number;
};

/** Tracks requests in flight and failures by server. */
export class ServerTracker {
  /** Servers that want no requests or can't be reached. */
  readonly availability = new core.gateway.ServerAvailability();
  /** Prompts to read, memory in use and paces of servers of models. */
  readonly tokens = new serverTokens.ServerTokens();
  readonly #onLoadChange: () => void;
  readonly #failureRecords = new Map<string, FailureRecord>();
  /** Requests of this host by server, model and adapter. */
  readonly #inFlight = new Map<string, InFlight>();
  /** Requests of this host by server. */
  readonly #ownLoad = new Map<string, number>();
  /** Load of servers over all hosts, as last told by the leader. */
  readonly #fleetLoad = new Map<string, FleetLoad>();
  /** Monotonic times until which models count as missing at a server. */
  readonly #missingModels = new Map<string, number>();

  /** @param onLoadChange called when a request of this host starts or ends */
  constructor(onLoadChange: () => void) {
    this.#onLoadChange = onLoadChange;
  }

  /** Counts a request as in flight until the returned function is called. */
  startRequest(
    server: string,
    context: types.RequestContext,
    now: number,
  ): () => void {
    const { metadata, service } = context;
    const { adapter, model } = metadata;
    const isEngine = service.engine !== undefined;
    if (isEngine) {
      this.tokens.start(server, context, this.loadOf(server, now), now);
    }
    const key = modelKey(server, metadata);
    const inFlight = this.#inFlight.get(key) ??
      { server, model, adapter, count: 0 };
    inFlight.count += 1;
    this.#onLoadChange();
    this.#inFlight.set(key, inFlight);
    this.#ownLoad.set(server, (this.#ownLoad.get(server) ?? 0) + 1);
    let isEnded = false;
    return () => {
      if (isEnded) return;
      isEnded = true;
      if (isEngine) this.tokens.end(server, context);
      inFlight.count -= 1;
      if (inFlight.count === 0) this.#inFlight.delete(key);
      this.#onLoadChange();
      this.#ownLoad.set(server, (this.#ownLoad.get(server) ?? 1) - 1);
    };
  }

  /** Records that a server has begun to answer a request. */
  recordFirstEvent(
    server: gateway.ServerRecord,
    context: types.RequestContext,
    now: number,
  ): void {
    if (context.service.engine === undefined) return;
    this.tokens.recordFirstEvent(server, context, now);
    this.#onLoadChange();
  }

  /**
   * Requests of this host by server and model, and what is told of servers of
   * models besides.
   */
  takeLoad(): gateway.ServerLoad[] {
    const running = [...this.#inFlight.values()].map((one) => ({
      server: one.server,
      running: one.count,
      ...(one.model === undefined ? {} : { model: one.model }),
      ...(one.adapter === undefined ? {} : { adapter: one.adapter }),
    }));
    return [...running, ...this.tokens.takeLoad()];
  }

  /** Models and adapters with requests in flight. */
  *runningModels(): Generator<InFlight> {
    for (const one of this.#inFlight.values()) {
      if (one.model !== undefined) yield one;
    }
  }

  /** Applies the leader's counts of the requests of all hosts. */
  applyFleetLoad(load: readonly gateway.ServerLoad[], now: number): void {
    this.tokens.applyFleetLoad(load, now);
    for (const { kept = 0, running, server } of load) {
      const own = this.#ownLoad.get(server) ?? 0;
      const others = Math.max(0, running - own);
      this.#fleetLoad.set(server, { others, kept, toldAt: now });
    }
  }

  /**
   * Estimates the requests in flight at a server: this host's current ones, and
   * those that other hosts had if the leader has told lately. A server that is
   * full says so; one that counts as full for ever would get none.
   */
  loadOf(server: string, now: number): number {
    const others = this.#told(server, now)?.others ?? 0;
    return (this.#ownLoad.get(server) ?? 0) + others;
  }

  /**
   * Slots of a server that are kept for callers that were told to come back; 0 if
   * the leader has not told lately.
   */
  keptSlots(server: string, now: number): number {
    return this.#told(server, now)?.kept ?? 0;
  }

  #told(server: string, now: number): FleetLoad | undefined {
    const told = this.#fleetLoad.get(server);
    const isCurrent = told !== undefined &&
      now - told.toldAt <= MAX_FLEET_LOAD_AGE_MS;
    return isCurrent ? told : undefined;
  }

  /** Ends the ejection of a server and resets its failure count. */
  recordSuccess(server: string): void {
    this.#failureRecords.delete(server);
  }

  /** Ejects a server for a time that doubles with each failure in a row. */
  recordFailure(server: string, now: number): void {
    const record = this.#failureRecords.get(server) ??
      { failures: 0, ejectedUntil: 0 };
    record.failures += 1;
    const ejectionMs = BASE_EJECTION_MS * 2 ** (record.failures - 1);
    record.ejectedUntil = now + Math.min(ejectionMs, MAX_EJECTION_MS);
    this.#failureRecords.set(server, record);
  }

  isEjected(server: string, now: number): boolean {
    return (this.#failureRecords.get(server)?.ejectedUntil ?? 0) > now;
  }

  /** Records that a server lacks a model, whatever its heartbeats say. */
  recordMissingModel(
    server: string,
    { metadata }: types.RequestContext,
    now: number,
  ): void {
    this.#missingModels.set(modelKey(server, metadata), now + MISSING_MODEL_MS);
    for (const [key, until] of this.#missingModels) {
      if (until <= now) this.#missingModels.delete(key);
    }
  }

  isModelMissing(
    server: string,
    { metadata }: types.RequestContext,
    now: number,
  ): boolean {
    return (this.#missingModels.get(modelKey(server, metadata)) ?? 0) > now;
  }

  /**
   * Removes the records of all servers but these; a load count is kept until
   * its requests have ended.
   */
  retain(servers: ReadonlySet<string>): void {
    this.tokens.retain(servers);
    for (const server of this.#failureRecords.keys()) {
      if (!servers.has(server)) this.#failureRecords.delete(server);
    }
    for (const server of this.#fleetLoad.keys()) {
      if (!servers.has(server)) this.#fleetLoad.delete(server);
    }
    for (const [server, count] of this.#ownLoad) {
      if (count === 0 && !servers.has(server)) this.#ownLoad.delete(server);
    }
  }
}

function modelKey(
  server: string,
  { adapter, model }: types.RequestMetadata,
): string {
  return `${server} ${model ?? ""} ${adapter ?? ""}`;
}
