/**
 * Requests that may crash backend servers, as known to one entry host.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  CRASH_REPORT_WINDOW_MS,
  type CrashCounts,
  DEFAULT_CRASH_COUNTS,
  dropOldest,
  MAX_SUSPECTS,
  setNewest,
  SUSPECT_TTL_MS,
} from "./bounds.ts";

/** Maximum number of reports to be sent; the oldest are dropped. */
export const MAX_PENDING_REPORTS = 1024;
/** Maximum number of waiting suspects in one report. */
const MAX_WAITING_REPORTS = 64;

type Report = protocol.suspicion.SuspicionReport;

/** A report whose times are still points on this host's clock. */
type PendingReport =
  | { readonly kind: "death"; readonly crash: ReportedCrash }
  | {
    readonly kind: "ended";
    readonly fingerprint: string;
    readonly survived: boolean;
    /** Time at which the request began, in milliseconds, if known. */
    readonly beganAt?: number | undefined;
  };

/** A request's run, for its attributes. */
export type Run = {
  /** Fingerprints of the request's attributes, other than its own. */
  readonly attributes: readonly string[];
  /** Monotonic time of its start, in milliseconds. */
  readonly beganAt: number;
};

/** Whether and on which servers a request may be dispatched. */
export type DispatchPermission =
  /** The request is no suspect and may run on any server. */
  | { readonly kind: "clear" }
  /** The suspect may run once, on this server. */
  | { readonly kind: "admitted"; readonly server: string }
  /** The suspect needs an admission first; see `requestAdmission`. */
  | { readonly kind: "wait" };

type WatchedSuspect = {
  readonly expiresAt: number;
  /** Whether it is not isolated yet. */
  readonly isObserved: boolean;
  /** Server on which the leader has admitted it. */
  readonly admittedServer?: string;
  /** Its only suspected attribute, if it has a single one. */
  readonly alone?: string | undefined;
};

/** A suspect that the leader may not know of yet. */
type LocalSuspect = {
  /** Times of the crashes with it in flight, by server and incarnation. */
  readonly crashes: Map<string, number>;
  expiresAt: number;
};

/** A crash that this host has reported. */
type ReportedCrash = {
  readonly server: string;
  readonly incarnation: string;
  readonly inFlight: readonly protocol.suspicion.InFlightRequest[];
  readonly at: number;
  readonly expiresAt: number;
};

type AdmissionRequest = {
  readonly attributes: readonly string[];
  readonly servers: readonly string[];
  readonly runMs: number;
};

/**
 * Suspects known to one entry host, and its reports about them to the leader.
 *
 * @example
 * ```ts
 * suspects.recordCrash("engine-1", "4f2a", inFlight, now);
 * // Later, before a dispatch:
 * const permission = suspects.permissionFor(work.fingerprint, now);
 * ```
 */
export class HostSuspects {
  /** Suspects in the leader's latest answer. */
  #watched = new Map<string, WatchedSuspect>();
  /** Suspects of an earlier leader, with the times until which they count. */
  #inherited = new Map<string, number>();
  readonly #counts: CrashCounts;
  readonly #localSuspects = new Map<string, LocalSuspect>();
  /** Begin of the last run without a crash by attribute, in milliseconds. */
  readonly #soundRuns = new Map<string, number>();
  /** Sound runs that the leader knows, by attribute. */
  readonly #reportedRuns = new Map<string, number>();
  /** Crashes that a new leader has to be told of, oldest first. */
  #crashes: ReportedCrash[] = [];
  /** Admitted requests that run, each with its only suspected attribute. */
  readonly #running = new Map<string, string | undefined>();
  readonly #admissionRequests = new Map<string, AdmissionRequest>();
  #reports: PendingReport[] = [];

  constructor(counts = DEFAULT_CRASH_COUNTS) {
    this.#counts = counts;
  }

  /** Whether this host knows of any suspect. */
  get hasSuspects(): boolean {
    return this.#watched.size > 0 || this.#localSuspects.size > 0 ||
      this.#inherited.size > 0 || this.#running.size > 0 ||
      this.#admissionRequests.size > 0;
  }

  /** Whether this host knows of a suspect or a crash. */
  get hasEvidence(): boolean {
    return this.hasSuspects || this.#crashes.length > 0;
  }

  /**
   * Whether and where a request may be dispatched now.
   *
   * @param attributes fingerprints of its attributes
   */
  permissionFor(
    fingerprint: string,
    now: number,
    attributes: readonly string[] = [],
  ): DispatchPermission {
    const watched = this.#watched.get(fingerprint);
    const isAdmitted = watched?.admittedServer !== undefined &&
      watched.expiresAt > now && !this.#running.has(fingerprint);
    if (isAdmitted) {
      return { kind: "admitted", server: watched.admittedServer! };
    }
    const isIsolated = this.#isIsolated(fingerprint, now) ||
      this.#hasCrashed(fingerprint, this.#counts.isolation, now) ||
      attributes.some((attribute) =>
        this.#isIsolated(attribute, now) ||
        this.#hasCrashed(attribute, this.#counts.quarantine, now)
      );
    return { kind: isIsolated ? "wait" : "clear" };
  }

  /**
   * Requests admission to one of `servers`, which are in order of preference;
   * returns whether none was requested before.
   */
  requestAdmission(
    fingerprint: string,
    servers: readonly string[],
    runMs: number,
    attributes: readonly string[] = [],
  ): boolean {
    const isNew = !this.#admissionRequests.has(fingerprint);
    this.#admissionRequests.set(fingerprint, { servers, runMs, attributes });
    return isNew;
  }

  /** Returns an admission whose server can no longer run the suspect. */
  returnAdmission(fingerprint: string): void {
    this.#dropAdmission(fingerprint);
    this.#addReport({ kind: "ended", fingerprint, survived: false });
  }

  /** Records that an admitted suspect is sent to its server. */
  recordStart(fingerprint: string): void {
    this.#admissionRequests.delete(fingerprint);
    this.#running.set(fingerprint, this.#watched.get(fingerprint)?.alone);
  }

  /**
   * Records that a request has ended or no longer waits. Has no effect on
   * requests that are not suspects.
   *
   * @param survived Whether it ran to completion without a server crash.
   * @param beganAt monotonic time of its start, in milliseconds; without it, the
   * run contradicts all crashes
   */
  recordEnd(fingerprint: string, survived: boolean, beganAt?: number): void {
    const wasWaiting = this.#admissionRequests.delete(fingerprint);
    const wasRunning = this.#running.delete(fingerprint);
    this.#dropAdmission(fingerprint);
    const isSuspect = this.#isSuspect(fingerprint);
    if (wasWaiting || wasRunning || (survived && isSuspect)) {
      this.#addReport({ kind: "ended", fingerprint, survived, beganAt });
    }
    if (!survived) return;
    this.#clear(fingerprint, beganAt ?? Infinity);
    this.#forgetCrashesOf(fingerprint, beganAt ?? Infinity);
  }

  /** Records that a request with some attributes ran without a server crash. */
  recordRun({ attributes, beganAt }: Run): void {
    for (const attribute of attributes) {
      setNewest(this.#soundRuns, attribute, beganAt, MAX_SUSPECTS);
      if (this.#isSuspect(attribute)) this.#reportSoundRun(attribute);
      this.#clear(attribute, beganAt);
    }
  }

  /**
   * Records a server crash with the requests of this host in flight there.
   *
   * @param at monotonic time of the crash, in milliseconds
   */
  recordCrash(
    server: string,
    incarnation: string,
    inFlight: readonly protocol.suspicion.InFlightRequest[],
    at: number,
  ): void {
    const expiresAt = at + SUSPECT_TTL_MS;
    const crashId = `${server}/${incarnation}`;
    for (const fingerprint of fingerprintsOf(inFlight).slice(0, MAX_SUSPECTS)) {
      const local = this.#localSuspects.get(fingerprint) ??
        { crashes: new Map<string, number>(), expiresAt };
      local.crashes.set(crashId, at);
      local.expiresAt = expiresAt;
      this.#localSuspects.set(fingerprint, local);
    }
    dropOldest(
      this.#localSuspects,
      MAX_SUSPECTS,
      (oldest) => this.#localSuspects.delete(oldest),
    );
    const crash = {
      server,
      incarnation,
      inFlight: inFlight.map((request) => this.#describe(request)),
      at,
      expiresAt,
    };
    this.#crashes = [
      ...this.#crashes.filter((other) => other.expiresAt > at),
      crash,
    ].slice(-MAX_PENDING_REPORTS);
    this.#addReport({ kind: "death", crash });
  }

  /**
   * Begins with a new leader: it does not know what hosts reported to the one
   * before, so that all crashes are reported again, and the suspects of the one
   * before count until all hosts may have done so.
   */
  beginTerm(now: number): void {
    const known = new Set(
      this.#reports.map((report) =>
        report.kind === "death" ? report.crash : undefined
      ),
    );
    for (const crash of this.#crashes) {
      if (crash.expiresAt > now && !known.has(crash)) {
        this.#addReport({ kind: "death", crash });
      }
    }
    this.#reportedRuns.clear();
    this.#inherited = new Map(
      [...this.#watched].filter(([, { isObserved }]) => !isObserved)
        .map(([fingerprint]) => [fingerprint, now + CRASH_REPORT_WINDOW_MS]),
    );
  }

  /** Whether anything is new that is to be reported to the leader. */
  get hasNewReports(): boolean {
    return this.#reports.length > 0;
  }

  /** Whether anything is to be reported to the leader. */
  get hasReports(): boolean {
    return this.hasNewReports || this.#admissionRequests.size > 0;
  }

  /**
   * Removes and returns the reports for the next exchange.
   *
   * @param now monotonic time, in milliseconds; without it, crashes and ends are
   * reported as of the time of the exchange
   */
  takeReports(now?: number): Report[] {
    const reports = this.#reports.map((report) => describe(report, now));
    this.#reports = [];
    const waiting = [...this.#admissionRequests]
      .map((entry) => ({ entry, suspects: this.#countSuspects(entry) }))
      .sort((one, other) => one.suspects - other.suspects)
      .map(({ entry }) => entry)
      .slice(0, MAX_WAITING_REPORTS)
      .map(([fingerprint, { attributes, runMs, servers }]): Report => ({
        kind: "waiting",
        fingerprint,
        ...(attributes.length === 0 ? {} : { attributes: [...attributes] }),
        servers: [...servers],
        runMs,
      }));
    return [...reports, ...waiting];
  }

  /**
   * Queues the reports of a failed exchange again. Reports of waiting suspects
   * are dropped, since {@link takeReports} generates them anew.
   *
   * @param now monotonic time, in milliseconds, as of which they are
   */
  requeueReports(reports: readonly Report[], now = 0): void {
    const kept = reports.flatMap((report) => restore(report, now));
    this.#reports = [...kept, ...this.#reports].slice(-MAX_PENDING_REPORTS);
  }

  /** Applies the leader's answer to all reports taken so far. */
  update(
    watched: readonly protocol.suspicion.WatchedFingerprint[],
    now: number,
  ): void {
    this.#watched = new Map(watched.map((suspect) => [suspect.fingerprint, {
      expiresAt: now + suspect.remainingMs,
      isObserved: suspect.kind === "suspect" && suspect.isObserved === true,
      ...(suspect.kind === "admitted"
        ? { admittedServer: suspect.server, alone: suspect.alone }
        : {}),
    }]));
    for (const report of this.#reports) {
      if (report.kind === "ended") {
        this.#dropAdmission(report.fingerprint);
      }
    }
    for (const fingerprint of this.#watched.keys()) {
      this.#reportSoundRun(fingerprint);
    }
    if (!this.#reports.some(({ kind }) => kind === "death")) {
      this.#localSuspects.clear();
    }
  }

  /** Adds whether a request ran isolated. */
  #describe(
    request: protocol.suspicion.InFlightRequest,
  ): protocol.suspicion.InFlightRequest {
    const alone = this.#running.get(request.fingerprint);
    return alone === undefined ? request : { ...request, alone };
  }

  #countSuspects([fingerprint, { attributes }]: [string, AdmissionRequest]) {
    return [fingerprint, ...attributes].filter((one) => this.#isSuspect(one))
      .length;
  }

  #isSuspect(fingerprint: string): boolean {
    return this.#watched.has(fingerprint) ||
      this.#localSuspects.has(fingerprint);
  }

  /** Whether the leader, or the one before, has isolated an attribute. */
  #isIsolated(fingerprint: string, now: number): boolean {
    const watched = this.#watched.get(fingerprint);
    const isWatched = watched !== undefined && !watched.isObserved &&
      watched.expiresAt > now;
    return isWatched || (this.#inherited.get(fingerprint) ?? -Infinity) > now;
  }

  /** Whether this host has seen so many crashes that the leader doesn't know. */
  #hasCrashed(fingerprint: string, times: number, now: number): boolean {
    const local = this.#localSuspects.get(fingerprint);
    return local !== undefined && local.expiresAt > now &&
      local.crashes.size >= times;
  }

  /** Reports the last run of an attribute without a crash, unless known. */
  #reportSoundRun(fingerprint: string): void {
    const beganAt = this.#soundRuns.get(fingerprint);
    if (
      beganAt === undefined || this.#reportedRuns.get(fingerprint) === beganAt
    ) return;
    setNewest(this.#reportedRuns, fingerprint, beganAt, MAX_SUSPECTS);
    this.#addReport({ kind: "ended", fingerprint, survived: true, beganAt });
  }

  /**
   * Uses up an admission, which is valid for one run. The leader may still list
   * it, since it may not know of the end of the run.
   */
  #dropAdmission(fingerprint: string): void {
    const watched = this.#watched.get(fingerprint);
    if (watched?.admittedServer !== undefined) {
      const { expiresAt } = watched;
      this.#watched.set(fingerprint, { expiresAt, isObserved: false });
    }
  }

  /** Forgets the crashes that a run without one contradicts. */
  #clear(fingerprint: string, beganAt: number): void {
    this.#watched.delete(fingerprint);
    this.#inherited.delete(fingerprint);
    const local = this.#localSuspects.get(fingerprint);
    for (const [id, at] of local?.crashes ?? []) {
      if (at < beganAt) local?.crashes.delete(id);
    }
    if (local?.crashes.size === 0) this.#localSuspects.delete(fingerprint);
  }

  /**
   * A request that has run without a crash is reported no more. Of attributes,
   * the leader is told the run instead.
   */
  #forgetCrashesOf(fingerprint: string, beganAt: number): void {
    this.#crashes = this.#crashes
      .map((crash) => ({
        ...crash,
        inFlight: crash.at >= beganAt ? crash.inFlight : crash.inFlight
          .filter((request) => request.fingerprint !== fingerprint),
      }))
      .filter(({ inFlight }) => inFlight.length > 0);
  }

  #addReport(report: PendingReport): void {
    this.#reports.push(report);
    this.#reports = this.#reports.slice(-MAX_PENDING_REPORTS);
  }
}

/** Fingerprints of requests and of all their attributes. */
function fingerprintsOf(
  requests: readonly protocol.suspicion.InFlightRequest[],
): string[] {
  return requests.flatMap(({ attributes = [], fingerprint }) => [
    fingerprint,
    ...attributes.map((attribute) => attribute.fingerprint),
  ]);
}

function describe(report: PendingReport, now: number | undefined): Report {
  switch (report.kind) {
    case "death": {
      const { at, inFlight, incarnation, server } = report.crash;
      return {
        kind: "death",
        server,
        incarnation,
        ...(now === undefined ? {} : { ageMs: Math.max(0, now - at) }),
        inFlight: [...inFlight],
      };
    }
    case "ended": {
      const { beganAt, ...rest } = report;
      return beganAt === undefined || now === undefined
        ? rest
        : { ...rest, beganMs: Math.max(0, now - beganAt) };
    }
  }
}

/** The pending report that a report says, if it is to be sent again. */
function restore(report: Report, now: number): PendingReport[] {
  switch (report.kind) {
    case "death": {
      const { ageMs = 0, inFlight, incarnation, server } = report;
      const at = now - ageMs;
      const expiresAt = at + SUSPECT_TTL_MS;
      const crash = { server, incarnation, inFlight, at, expiresAt };
      return [{ kind: "death", crash }];
    }
    case "ended": {
      const { beganMs, fingerprint, kind, survived } = report;
      const beganAt = beganMs === undefined ? undefined : now - beganMs;
      return [{ kind, fingerprint, survived, beganAt }];
    }
    case "waiting":
      return [];
  }
}
