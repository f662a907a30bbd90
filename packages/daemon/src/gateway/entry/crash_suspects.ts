/**
 * Requests that may crash backend servers, as known to one entry host: which may
 * be sent, and under which of them servers crashed.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway, suspicion } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as connectionProbe from "./connection_probe.ts";
import type * as fleetView from "./fleet_view.ts";
import type * as requestIdentity from "./request_identity.ts";
import type * as types from "./types.ts";

const write = log.createLog("suspects");

/**
 * Time after the end of a connection at which a server that has ended with it
 * refuses others, in milliseconds.
 */
const CONFIRMATION_MS = 300;

/** Whether and where a request may be sent. */
export type Permission =
  | core.suspicion.DispatchPermission
  | {
    readonly kind: "quarantined";
    /** Time until the quarantine ends, in milliseconds. */
    readonly remainingMs: number;
  };

/** Dependencies and callbacks of `CrashSuspects`. */
export interface CrashSuspectsOptions {
  readonly view: fleetView.FleetView;
  probe(address: string): Promise<connectionProbe.ProbeResult>;
  /** Called with each request under which a server crashed. */
  onCrash(server: gateway.ServerRecord): void;
  /** Called when the leader has to hear of a crash or a waiting suspect. */
  onNews(): void;
}

type Failure = {
  readonly server: gateway.ServerRecord;
  readonly context: types.RequestContext;
  readonly at: number;
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly beganAt: number;
};

/** Tracks crashes and suspects for one entry host. */
export class CrashSuspects {
  readonly #options: CrashSuspectsOptions;
  readonly #suspects = new core.suspicion.HostSuspects(
    core.suspicion.SHARED_SERVER_CRASH_COUNTS,
  );
  /** Suspects that wait for an admission. */
  readonly #waiting = new Set<requestIdentity.RequestIdentity>();
  /** Admitted suspects that are sent to their server. */
  readonly #runs = new Set<requestIdentity.RequestIdentity>();
  /** Probes in progress, by server and its birth. */
  readonly #probes = new Map<string, Promise<connectionProbe.ProbeResult>>();
  readonly #pendingFailures = new core.suspicion.PendingFailures<Failure>();
  /** Revision of the leader's suspects in its last answer to a report. */
  #revision = 0;
  #term = 0;
  /** Monotonic time of the last report, in milliseconds. */
  #takenAt = 0;

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
    options.view.on("change", () => this.#onViewChange());
  }

  /** Whether and where a request may be sent now. */
  permissionFor(context: types.RequestContext, now: number): Permission {
    const { view } = this.#options;
    if (view.quarantineCount === 0 && !this.#suspects.hasSuspects) {
      return { kind: "clear" };
    }
    const { fingerprint } = context.identity;
    const attributes = attributesOf(context);
    const remainingMs = Math.max(
      ...[fingerprint, ...attributes].map((one) => view.quarantineMs(one, now)),
    );
    return remainingMs > 0
      ? { kind: "quarantined", remainingMs }
      : this.#suspects.permissionFor(fingerprint, now, attributes);
  }

  /** Requests the admission of a suspect to one of several servers. */
  requestAdmission(
    context: types.RequestContext,
    servers: readonly string[],
    now: number,
  ): void {
    if (servers.length === 0) return;
    this.#waiting.add(context.identity);
    const runMs = Math.max(0, context.deadline - now);
    const isNew = this.#suspects.requestAdmission(
      context.identity.fingerprint,
      servers,
      runMs,
      attributesOf(context),
    );
    if (isNew) this.#options.onNews();
  }

  /** Returns an admission to a server that can't run the suspect any more. */
  returnAdmission({ identity }: types.RequestContext): void {
    this.#suspects.returnAdmission(identity.fingerprint);
  }

  /** Records that an admitted suspect is about to be sent. */
  recordStart({ identity }: types.RequestContext): void {
    this.#waiting.delete(identity);
    this.#runs.add(identity);
    this.#suspects.recordStart(identity.fingerprint);
  }

  /** Records that a request waits no more, or has ended without success. */
  recordEnd({ identity }: types.RequestContext): void {
    const wasWaiting = this.#waiting.delete(identity);
    const wasRunning = this.#runs.delete(identity);
    if (!wasWaiting && !wasRunning) return;
    const { fingerprint } = identity;
    // The same request may still run under another id.
    if (this.#isRunning(fingerprint) && !wasRunning) return;
    this.#suspects.recordEnd(fingerprint, false);
  }

  /**
   * Records that a server has answered a request with success.
   *
   * @param beganAt monotonic time at which it was sent, in milliseconds
   */
  recordSuccess(context: types.RequestContext, beganAt: number): void {
    const { identity } = context;
    this.#waiting.delete(identity);
    const wasRunning = this.#runs.delete(identity);
    // A fingerprint takes a digest of the body.
    if (this.#suspects.hasEvidence) {
      const { fingerprint } = identity;
      if (this.#isRunning(fingerprint) && !wasRunning) return;
      this.#suspects.recordEnd(fingerprint, true, beganAt);
    }
    const attributes = attributesOf(context);
    this.#suspects.recordRun({ attributes, beganAt });
    if (this.#suspects.hasNewReports) this.#options.onNews();
  }

  /**
   * Records that a response has ended with its connection: it is whole if its
   * server lives on. Resolves to whether it may be whole.
   *
   * @param beganAt monotonic time at which the request was sent, in ms
   */
  async confirmEnd(
    context: types.RequestContext,
    server: gateway.ServerRecord,
    beganAt: number,
  ): Promise<boolean> {
    if (this.#isLeaving(server)) return true;
    const failure = { server, context, at: performance.now(), beganAt };
    const result = await this.#probe(server);
    if (result === "refused") return false;
    this.#pendingFailures.add(failure);
    // A success is only asked for while there are suspects.
    if (this.#suspects.hasSuspects) void this.#confirmSuccess(failure);
    return true;
  }

  /**
   * Finds out whether a server crashed that broke off a request. Resolves before
   * the request may be sent to another one.
   *
   * @param beganAt monotonic time at which the request was sent, in ms
   * @param isClosed whether the connection was closed, rather than silent
   */
  async recordFailure(
    context: types.RequestContext,
    server: gateway.ServerRecord,
    beganAt: number,
    isClosed: boolean,
  ): Promise<void> {
    // A server that leaves may end while requests are in progress.
    if (this.#isLeaving(server)) return;
    const failure = { server, context, at: performance.now(), beganAt };
    const result = await this.#probe(server);
    if (result === "refused") return this.#recordCrash(failure, "refused");
    if (!isClosed) return;
    this.#pendingFailures.add(failure);
    this.#recordRestarts();
  }

  /** Whether the leader has to be asked or told at once. */
  get hasNews(): boolean {
    return this.#suspects.hasReports || this.#isOutdated;
  }

  /** Removes and returns what the next report to the leader says. */
  takeReports(): suspicion.SuspicionReport[] {
    const { term } = this.#options.view;
    const now = performance.now();
    if (term !== this.#term) {
      this.#term = term;
      this.#suspects.beginTerm(now);
    }
    this.#takenAt = now;
    return this.#suspects.takeReports(now);
  }

  /** Queues what a report said again that was not answered. */
  requeueReports(reports: readonly suspicion.SuspicionReport[]): void {
    this.#suspects.requeueReports(reports, this.#takenAt);
  }

  /** Applies the leader's answer to a report. */
  onReportResponse(
    { suspectRevision = 0, watched = [] }: gateway.ReportResponse,
  ): void {
    this.#revision = suspectRevision;
    this.#suspects.update(watched, performance.now());
    if (this.#suspects.hasNewReports) this.#options.onNews();
  }

  get #isOutdated(): boolean {
    return this.#options.view.suspectRevision !== this.#revision;
  }

  #isRunning(fingerprint: string): boolean {
    return [...this.#runs].some((run) => run.fingerprint === fingerprint);
  }

  /** Records a success if the server still listens some time later. */
  async #confirmSuccess(
    { beganAt, context, server }: Failure,
  ): Promise<void> {
    await timers.setTimeout(CONFIRMATION_MS, undefined, { ref: false });
    if (this.#hasRestarted(server)) return;
    if (await this.#probe(server) !== "listening") return;
    this.recordSuccess(context, beganAt);
  }

  #onViewChange(): void {
    this.#recordRestarts();
    if (this.#isOutdated) this.#options.onNews();
  }

  #isLeaving({ born, id }: gateway.ServerRecord): boolean {
    const current = this.#options.view.server(id)?.record;
    if (current === undefined) return true;
    return current.born === born &&
      (current.state === "draining" || current.state === "ended");
  }

  /** Requests that break off together share a probe. */
  #probe(
    { address, born, id }: gateway.ServerRecord,
  ): Promise<connectionProbe.ProbeResult> {
    const key = `${id} ${born}`;
    const probe = this.#probes.get(key) ?? this.#options.probe(address)
      .finally(() => this.#probes.delete(key));
    this.#probes.set(key, probe);
    return probe;
  }

  /** Records the crashes of servers that have restarted since a failure. */
  #recordRestarts(): void {
    const restarted = this.#pendingFailures.takeRestarted(
      ({ server }) => this.#hasRestarted(server),
      performance.now(),
    );
    for (const failure of restarted) this.#recordCrash(failure, "restarted");
  }

  /** Whether a later process has the id or the address of a server. */
  #hasRestarted({ address, born, id, service }: gateway.ServerRecord): boolean {
    const { view } = this.#options;
    const current = view.server(id)?.record;
    if (current !== undefined && current.born > born) return true;
    return view.readyServers(service).some(({ record }) =>
      record.address === address && record.born > born
    );
  }

  #recordCrash(
    { at, beganAt, context, server }: Failure,
    evidence: string,
  ): void {
    const { metadata, service, workspace } = context;
    const { attributes, fingerprint } = context.identity;
    write("server-crashed", {
      id: metadata.id,
      fingerprint,
      server: server.id,
      born: server.born,
      evidence,
    });
    this.#suspects.recordCrash(server.id, String(server.born), [{
      fingerprint,
      workspace: workspace?.name ?? OPEN_ROUTE_WORKSPACE,
      model: metadata.model ?? service.name,
      attributes: [...attributes],
      ranMs: Math.max(0, at - beganAt),
    }], at);
    this.#options.onCrash(server);
    this.#options.onNews();
  }
}

/** Fingerprints of what a request may have in common with others. */
function attributesOf({ identity }: types.RequestContext): string[] {
  return identity.attributes.map(({ fingerprint }) => fingerprint);
}

/** Workspace reported for requests on open routes, which have none. */
const OPEN_ROUTE_WORKSPACE = "open";
