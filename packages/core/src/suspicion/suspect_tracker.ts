/**
 * Leader's record of server crashes and of the requests in flight at each
 * crash. A crash is any unexpected end of a server, whatever its cause.
 *
 * A request that was in flight at a crash is a suspect. After a number of crashes
 * it runs isolated from other suspects. A request that is the only explanation of
 * several crashes, one of them while it was isolated, is confirmed as a crashing
 * request, and the requests that were in flight with it are cleared. Crashes of
 * servers for another common cause don't confirm a request, however many servers
 * ran it. A suspect is also cleared once it runs without a crash.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  CRASH_REPORT_WINDOW_MS,
  type CrashCounts,
  DEFAULT_CRASH_COUNTS,
  dropOldest,
  MAX_CRASHES,
  MAX_SUSPECTS,
  SUSPECT_TTL_MS,
} from "./bounds.ts";

/**
 * Time for which an admission outlasts the run time that the host requested, in
 * milliseconds.
 */
const ADMISSION_MARGIN_MS = 1000;

/** A request that crashes servers and is to be quarantined on all hosts. */
export type CrashingRequest = protocol.suspicion.InFlightRequest;

type Crash = {
  readonly reportedAt: number;
  /** Requests in flight at the crash that are still suspects. */
  readonly fingerprints: Set<string>;
};

type Suspect = {
  readonly request: protocol.suspicion.InFlightRequest;
  /** Unexplained crashes at which the request was in flight. */
  readonly crashes: Set<string>;
  /** Server of its last admission. */
  isolatedServer: string | undefined;
  /** Whether a server crashed while it ran there isolated. */
  hasCrashedIsolated: boolean;
  expiresAt: number;
};

type Admission = {
  readonly host: string;
  readonly server: string;
  readonly until: number;
};

/**
 * Tracks the suspects of the whole fleet on the leader.
 *
 * @example
 * ```ts
 * const watched = tracker.exchange(host, reports, now);
 * for (const request of tracker.crashingRequests(now)) {
 *   await propose(quarantineOf(request));
 *   tracker.forget(request.fingerprint);
 * }
 * ```
 */
export class SuspectTracker {
  readonly #counts: CrashCounts;
  readonly #suspects = new Map<string, Suspect>();
  readonly #crashes = new Map<string, Crash>();
  readonly #admissions = new Map<string, Admission>();
  #revision = 0;

  constructor(counts = DEFAULT_CRASH_COUNTS) {
    this.#counts = counts;
  }

  /** Increases when what hosts have to know of suspects changes. */
  get revision(): number {
    return this.#revision;
  }

  /** Applies the reports of a host; returns the suspects to be isolated. */
  exchange(
    host: string,
    reports: readonly protocol.suspicion.SuspicionReport[],
    now: number,
  ): protocol.suspicion.WatchedFingerprint[] {
    this.#expire(now);
    for (const report of reports) {
      this.#apply(host, report, now);
    }
    return this.#watched(host, now);
  }

  /**
   * Requests that are to be quarantined. They remain suspects and are returned
   * again until {@link forget} is called.
   */
  crashingRequests(now: number): CrashingRequest[] {
    this.#expire(now);
    const result: CrashingRequest[] = [];
    for (const { reportedAt, fingerprints } of this.#crashes.values()) {
      if (now >= reportedAt + CRASH_REPORT_WINDOW_MS) {
        const cause = this.#soleCause(fingerprints);
        if (cause !== undefined && !result.includes(cause)) {
          result.push(cause);
        }
      }
    }
    result.forEach(({ fingerprint }) => this.#clearOtherSuspects(fingerprint));
    return result;
  }

  /** Stops tracking a request that is quarantined, released or cleared. */
  forget(fingerprint: string): void {
    this.#noteChangeOf(fingerprint);
    for (const crash of this.#suspects.get(fingerprint)?.crashes ?? []) {
      this.#crashes.get(crash)?.fingerprints.delete(fingerprint);
    }
    this.#suspects.delete(fingerprint);
    this.#admissions.delete(fingerprint);
  }

  #apply(
    host: string,
    report: protocol.suspicion.SuspicionReport,
    now: number,
  ): void {
    switch (report.kind) {
      case "death":
        return this.#recordCrash(report, now);
      case "waiting":
        return this.#admit(host, report, now);
      case "ended":
        return this.#endAdmission(host, report);
    }
  }

  #recordCrash(
    report: protocol.suspicion.SuspicionReport & { kind: "death" },
    now: number,
  ): void {
    const crashId = `${report.server}/${report.incarnation}`;
    const crash = this.#crashes.get(crashId) ??
      { reportedAt: now, fingerprints: new Set<string>() };
    this.#crashes.set(crashId, crash);
    for (const request of report.inFlight) {
      crash.fingerprints.add(request.fingerprint);
      this.#addSuspect(request, crashId, report.server, now);
    }
    dropOldest(this.#crashes, MAX_CRASHES, (oldest) => this.#dropCrash(oldest));
    dropOldest(this.#suspects, MAX_SUSPECTS, (oldest) => this.forget(oldest));
  }

  #addSuspect(
    request: protocol.suspicion.InFlightRequest,
    crashId: string,
    server: string,
    now: number,
  ): void {
    const { fingerprint } = request;
    const suspect: Suspect = this.#suspects.get(fingerprint) ?? {
      request,
      crashes: new Set<string>(),
      isolatedServer: undefined,
      hasCrashedIsolated: false,
      expiresAt: 0,
    };
    suspect.crashes.add(crashId);
    suspect.expiresAt = now + SUSPECT_TTL_MS;
    if (suspect.isolatedServer === server) suspect.hasCrashedIsolated = true;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    this.#noteChangeOf(fingerprint);
  }

  /** Whether a suspect may run only isolated from others. */
  #isIsolated({ crashes }: Suspect): boolean {
    return crashes.size >= this.#counts.isolation;
  }

  #noteChangeOf(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined && this.#isIsolated(suspect)) this.#revision++;
  }

  /** Whether a request would explain each crash at which it was in flight. */
  #mayExplainCrashes({ crashes, hasCrashedIsolated }: Suspect): boolean {
    return hasCrashedIsolated && crashes.size >= this.#counts.quarantine;
  }

  /**
   * Admits a suspect to a server. It runs only once at a time, and on a server
   * that runs no other suspect.
   */
  #admit(
    host: string,
    report: protocol.suspicion.SuspicionReport & { kind: "waiting" },
    now: number,
  ): void {
    const { fingerprint, servers, runMs } = report;
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || this.#admissions.has(fingerprint)) {
      return;
    }
    if (this.#mayBeConfirmed(suspect, now)) {
      return;
    }
    const occupied = new Set(
      [...this.#admissions.values()].map((admission) => admission.server),
    );
    const server = servers.find((name) => !occupied.has(name));
    if (server !== undefined) {
      const until = now + runMs + ADMISSION_MARGIN_MS;
      this.#admissions.set(fingerprint, { host, server, until });
      suspect.isolatedServer = server;
    }
  }

  /**
   * Whether a suspect is confirmed as the cause of a crash, or may be once all
   * hosts have reported.
   */
  #mayBeConfirmed(suspect: Suspect, now: number): boolean {
    const { crashes, request } = suspect;
    return this.#mayExplainCrashes(suspect) &&
      [...crashes].map((id) => this.#crashes.get(id)!).some((crash) =>
        now < crash.reportedAt + CRASH_REPORT_WINDOW_MS ||
        this.#soleCause(crash.fingerprints) === request
      );
  }

  #endAdmission(
    host: string,
    report: protocol.suspicion.SuspicionReport & { kind: "ended" },
  ): void {
    const { fingerprint, survived } = report;
    if (survived) {
      this.forget(fingerprint);
    } else if (this.#admissions.get(fingerprint)?.host === host) {
      this.#admissions.delete(fingerprint);
      this.#revision++;
    }
  }

  #watched(
    host: string,
    now: number,
  ): protocol.suspicion.WatchedFingerprint[] {
    const isolated = [...this.#suspects]
      .filter(([, suspect]) => this.#isIsolated(suspect));
    return isolated.map(([fingerprint, { expiresAt }]) => {
      const admission = this.#admissions.get(fingerprint);
      if (admission?.host === host) {
        const { server, until } = admission;
        const remainingMs = until - now;
        return { kind: "admitted", fingerprint, server, remainingMs };
      }
      return { kind: "suspect", fingerprint, remainingMs: expiresAt - now };
    });
  }

  /**
   * The request that was in flight at enough crashes to be quarantined, if only
   * one of `fingerprints` was.
   */
  #soleCause(fingerprints: ReadonlySet<string>): CrashingRequest | undefined {
    const causes = [...fingerprints]
      .map((fingerprint) => this.#suspects.get(fingerprint))
      .filter((suspect) =>
        suspect !== undefined && this.#mayExplainCrashes(suspect)
      );
    return causes.length === 1 ? causes[0]!.request : undefined;
  }

  /**
   * Clears the other suspects of the crashes at which a confirmed request was
   * in flight: these crashes are explained.
   */
  #clearOtherSuspects(fingerprint: string): void {
    for (const crashId of this.#suspects.get(fingerprint)?.crashes ?? []) {
      const { fingerprints } = this.#crashes.get(crashId)!;
      for (const other of fingerprints) {
        if (other !== fingerprint) {
          this.#removeCrash(other, crashId);
          fingerprints.delete(other);
        }
      }
    }
  }

  /** Drops a crash from the record and from all of its suspects. */
  #dropCrash(crashId: string): void {
    for (const fingerprint of this.#crashes.get(crashId)?.fingerprints ?? []) {
      this.#removeCrash(fingerprint, crashId);
    }
    this.#crashes.delete(crashId);
  }

  /** Removes a crash from a suspect, and clears it if no crash is left. */
  #removeCrash(fingerprint: string, crashId: string): void {
    this.#noteChangeOf(fingerprint);
    const suspect = this.#suspects.get(fingerprint);
    suspect?.crashes.delete(crashId);
    if (suspect?.crashes.size === 0) {
      this.#suspects.delete(fingerprint);
      this.#admissions.delete(fingerprint);
    }
  }

  #expire(now: number): void {
    for (const [fingerprint, { expiresAt }] of this.#suspects) {
      if (expiresAt <= now) {
        this.forget(fingerprint);
      }
    }
    for (const [crashId, { reportedAt }] of this.#crashes) {
      if (reportedAt + SUSPECT_TTL_MS <= now) {
        this.#dropCrash(crashId);
      }
    }
    for (const [fingerprint, { until }] of this.#admissions) {
      if (until <= now) {
        this.#admissions.delete(fingerprint);
        this.#revision++;
      }
    }
  }
}
