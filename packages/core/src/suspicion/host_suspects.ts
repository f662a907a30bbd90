/**
 * Requests that may crash backend servers, as known to one entry host.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  DEFAULT_CRASH_COUNTS,
  dropOldest,
  MAX_SUSPECTS,
  SUSPECT_TTL_MS,
} from "./bounds.ts";

/** Maximum number of reports to be sent; the oldest are dropped. */
export const MAX_PENDING_REPORTS = 1024;

type Report = protocol.suspicion.SuspicionReport;

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
  /** Server on which the leader has admitted it. */
  readonly admittedServer?: string;
};

/** A suspect that the leader may not know of yet. */
type LocalSuspect = {
  /** Servers that crashed with it in flight, with their incarnations. */
  readonly crashes: Set<string>;
  expiresAt: number;
};

/** A crash that this host has reported. */
type ReportedCrash = {
  readonly report: Extract<Report, { kind: "death" }>;
  readonly expiresAt: number;
};

type AdmissionRequest = {
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
  readonly #isolationCrashCount: number;
  readonly #localSuspects = new Map<string, LocalSuspect>();
  /** Crashes that a new leader has to be told of, oldest first. */
  #crashes: ReportedCrash[] = [];
  readonly #running = new Set<string>();
  readonly #admissionRequests = new Map<string, AdmissionRequest>();
  #reports: Report[] = [];

  constructor(counts = DEFAULT_CRASH_COUNTS) {
    this.#isolationCrashCount = counts.isolation;
  }

  /** Whether this host knows of any suspect. */
  get hasSuspects(): boolean {
    return this.#watched.size > 0 || this.#localSuspects.size > 0 ||
      this.#running.size > 0 || this.#admissionRequests.size > 0;
  }

  /** Whether and where a request may be dispatched now. */
  permissionFor(fingerprint: string, now: number): DispatchPermission {
    const watched = this.#watched.get(fingerprint);
    if (watched !== undefined && watched.expiresAt > now) {
      const isIdle = !this.#running.has(fingerprint);
      return watched.admittedServer !== undefined && isIdle
        ? { kind: "admitted", server: watched.admittedServer }
        : { kind: "wait" };
    }
    const local = this.#localSuspects.get(fingerprint);
    const isIsolated = local !== undefined && local.expiresAt > now &&
      local.crashes.size >= this.#isolationCrashCount;
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
  ): boolean {
    const isNew = !this.#admissionRequests.has(fingerprint);
    this.#admissionRequests.set(fingerprint, { servers, runMs });
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
    this.#running.add(fingerprint);
  }

  /**
   * Records that a request has ended or no longer waits. Has no effect on
   * requests that are not suspects.
   *
   * @param survived Whether it ran to completion without a server crash.
   */
  recordEnd(fingerprint: string, survived: boolean): void {
    const wasWaiting = this.#admissionRequests.delete(fingerprint);
    const wasRunning = this.#running.delete(fingerprint);
    this.#dropAdmission(fingerprint);
    const isSuspect = this.#watched.has(fingerprint) ||
      this.#localSuspects.has(fingerprint);
    if (wasWaiting || wasRunning || (survived && isSuspect)) {
      this.#addReport({ kind: "ended", fingerprint, survived });
    }
    if (survived) {
      this.#watched.delete(fingerprint);
      this.#localSuspects.delete(fingerprint);
      this.#forgetCrashesOf(fingerprint);
    }
  }

  /** Records a server crash with the requests of this host in flight there. */
  recordCrash(
    server: string,
    incarnation: string,
    inFlight: readonly protocol.suspicion.InFlightRequest[],
    now: number,
  ): void {
    const expiresAt = now + SUSPECT_TTL_MS;
    for (const { fingerprint } of inFlight.slice(0, MAX_SUSPECTS)) {
      const local = this.#localSuspects.get(fingerprint) ??
        { crashes: new Set<string>(), expiresAt };
      local.crashes.add(`${server}/${incarnation}`);
      local.expiresAt = expiresAt;
      this.#localSuspects.set(fingerprint, local);
    }
    dropOldest(
      this.#localSuspects,
      MAX_SUSPECTS,
      (oldest) => this.#localSuspects.delete(oldest),
    );
    const report = {
      kind: "death" as const,
      server,
      incarnation,
      inFlight: [...inFlight],
    };
    this.#crashes = [
      ...this.#crashes.filter((crash) => crash.expiresAt > now),
      { report, expiresAt },
    ].slice(-MAX_PENDING_REPORTS);
    this.#addReport(report);
  }

  /**
   * Reports all crashes again: a new leader does not know what hosts reported to
   * the one before.
   */
  reportCrashesAgain(now: number): void {
    const known = new Set(this.#reports);
    for (const { expiresAt, report } of this.#crashes) {
      if (expiresAt > now && !known.has(report)) this.#addReport(report);
    }
  }

  /** Whether anything is to be reported to the leader at once. */
  get hasReports(): boolean {
    return this.#reports.length > 0 || this.#admissionRequests.size > 0;
  }

  /** Removes and returns the reports for the next exchange. */
  takeReports(): Report[] {
    const reports = this.#reports;
    this.#reports = [];
    const waiting = [...this.#admissionRequests].map((
      [fingerprint, request],
    ): Report => ({
      kind: "waiting",
      fingerprint,
      servers: [...request.servers],
      runMs: request.runMs,
    }));
    return [...reports, ...waiting];
  }

  /**
   * Queues the reports of a failed exchange again. Reports of waiting suspects
   * are dropped, since {@link takeReports} generates them anew.
   */
  requeueReports(reports: readonly Report[]): void {
    const kept = reports.filter(({ kind }) => kind !== "waiting");
    this.#reports = [...kept, ...this.#reports].slice(-MAX_PENDING_REPORTS);
  }

  /** Applies the leader's answer to all reports taken so far. */
  update(
    watched: readonly protocol.suspicion.WatchedFingerprint[],
    now: number,
  ): void {
    this.#watched = new Map(watched.map((suspect) => [suspect.fingerprint, {
      expiresAt: now + suspect.remainingMs,
      ...(suspect.kind === "admitted"
        ? { admittedServer: suspect.server }
        : {}),
    }]));
    for (const report of this.#reports) {
      if (report.kind === "ended") {
        this.#dropAdmission(report.fingerprint);
      }
    }
    if (!this.#reports.some(({ kind }) => kind === "death")) {
      this.#localSuspects.clear();
    }
  }

  /**
   * Uses up an admission, which is valid for one run. The leader may still list
   * it, since it may not know of the end of the run.
   */
  #dropAdmission(fingerprint: string): void {
    const watched = this.#watched.get(fingerprint);
    if (watched !== undefined) {
      this.#watched.set(fingerprint, { expiresAt: watched.expiresAt });
    }
  }

  /** A request that has run without a crash is reported no more. */
  #forgetCrashesOf(fingerprint: string): void {
    this.#crashes = this.#crashes
      .map(({ expiresAt, report }) => ({
        expiresAt,
        report: {
          ...report,
          inFlight: report.inFlight.filter((request) =>
            request.fingerprint !== fingerprint
          ),
        },
      }))
      .filter(({ report }) => report.inFlight.length > 0);
  }

  #addReport(report: Report): void {
    this.#reports.push(report);
    this.#reports = this.#reports.slice(-MAX_PENDING_REPORTS);
  }
}
