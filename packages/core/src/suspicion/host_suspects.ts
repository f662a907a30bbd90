/**
 * An entry host's view of the requests that may crash backend servers.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import { dropOldest, MAX_SUSPECTS, SUSPECT_TTL_MS } from "./bounds.ts";

/** Most reports that wait to be sent; the oldest are dropped. */
export const MAX_PENDING_REPORTS = 1024;

type Report = protocol.suspicion.SuspicionReport;

/** Whether and where a request may be run, as far as suspicion goes. */
export type DispatchPermission =
  /** Anywhere. */
  | { readonly kind: "clear" }
  /** Once, on this server. */
  | { readonly kind: "admitted"; readonly server: string }
  /** Not yet: say by `want` where it could run. */
  | { readonly kind: "wait" };

type Watched = {
  readonly until: number;
  /** Server on which it may run. */
  readonly admitted?: string;
};

type Wish = {
  readonly servers: readonly string[];
  readonly runMs: number;
};

/**
 * Suspects as one entry host knows them, and its reports to the leader.
 *
 * @example
 * ```ts
 * watch.died("engine-1", "4f2a", inFlight, now);
 * // Later, before a dispatch:
 * const clearance = watch.clearanceOf(work.fingerprint, now);
 * ```
 */
export class HostSuspects {
  /** Suspects by the leader's latest word. */
  #watched = new Map<string, Watched>();
  /** Suspects that the leader may not have heard of yet. */
  readonly #own = new Map<string, number>();
  readonly #running = new Set<string>();
  readonly #wishes = new Map<string, Wish>();
  #reports: Report[] = [];

  /** Whether a request may be run now. */
  permissionFor(fingerprint: string, now: number): DispatchPermission {
    const watched = this.#watched.get(fingerprint);
    if (watched !== undefined && watched.until > now) {
      const isFree = !this.#running.has(fingerprint);
      return watched.admitted !== undefined && isFree
        ? { kind: "admitted", server: watched.admitted }
        : { kind: "wait" };
    }
    const isOwn = (this.#own.get(fingerprint) ?? 0) > now;
    return { kind: isOwn ? "wait" : "clear" };
  }

  /** Says where a suspect that waits could run, the preferred server first. */
  requestAdmission(
    fingerprint: string,
    servers: readonly string[],
    runMs: number,
  ): void {
    this.#wishes.set(fingerprint, { servers, runMs });
  }

  /** Hands an admission back: its server can't run the suspect any more. */
  returnAdmission(fingerprint: string): void {
    this.#withdrawAdmission(fingerprint);
    this.#add({ kind: "ended", fingerprint, survived: false });
  }

  /** Notes that an admitted suspect is sent to its server. */
  recordStart(fingerprint: string): void {
    this.#wishes.delete(fingerprint);
    this.#running.add(fingerprint);
  }

  /**
   * Notes that a request has ended or waits no more. Without effect on
   * requests that are not watched.
   *
   * @param survived It ran to its end on a server that stayed up.
   */
  recordEnd(fingerprint: string, survived: boolean): void {
    const wasWanted = this.#wishes.delete(fingerprint);
    const wasRunning = this.#running.delete(fingerprint);
    this.#withdrawAdmission(fingerprint);
    const isSuspect = this.#watched.has(fingerprint) ||
      this.#own.has(fingerprint);
    if (wasWanted || wasRunning || (survived && isSuspect)) {
      this.#add({ kind: "ended", fingerprint, survived });
    }
    if (survived) {
      this.#watched.delete(fingerprint);
      this.#own.delete(fingerprint);
    }
  }

  /** Notes that a server died with requests of this host in flight. */
  recordCrash(
    server: string,
    incarnation: string,
    inFlight: readonly protocol.suspicion.InFlightRequest[],
    now: number,
  ): void {
    for (const { fingerprint } of inFlight.slice(0, MAX_SUSPECTS)) {
      this.#own.set(fingerprint, now + SUSPECT_TTL_MS);
    }
    dropOldest(this.#own, MAX_SUSPECTS, (oldest) => this.#own.delete(oldest));
    this.#add({ kind: "death", server, incarnation, inFlight: [...inFlight] });
  }

  /** Whether the leader should hear of something at once. */
  get hasReports(): boolean {
    return this.#reports.length > 0 || this.#wishes.size > 0;
  }

  /** Takes what is to be reported in the next exchange. */
  takeReports(): Report[] {
    const reports = this.#reports;
    this.#reports = [];
    const wishes = [...this.#wishes].map(([fingerprint, wish]): Report => ({
      kind: "waiting",
      fingerprint,
      servers: [...wish.servers],
      runMs: wish.runMs,
    }));
    return [...reports, ...wishes];
  }

  /** Gives reports back whose exchange failed. */
  requeueReports(reports: readonly Report[]): void {
    const kept = reports.filter(({ kind }) => kind !== "waiting");
    this.#reports = [...kept, ...this.#reports].slice(-MAX_PENDING_REPORTS);
  }

  /** Takes in the leader's answer to all reports taken so far. */
  update(
    watched: readonly protocol.suspicion.WatchedFingerprint[],
    now: number,
  ): void {
    this.#watched = new Map(watched.map((one) => [one.fingerprint, {
      until: now + one.remainingMs,
      ...(one.kind === "admitted" ? { admitted: one.server } : {}),
    }]));
    for (const report of this.#reports) {
      if (report.kind === "ended") {
        this.#withdrawAdmission(report.fingerprint);
      }
    }
    if (!this.#reports.some(({ kind }) => kind === "death")) {
      this.#own.clear();
    }
  }

  /** An admission is for one run, though the leader may not know of its end. */
  #withdrawAdmission(fingerprint: string): void {
    const watched = this.#watched.get(fingerprint);
    if (watched !== undefined) {
      this.#watched.set(fingerprint, { until: watched.until });
    }
  }

  #add(report: Report): void {
    this.#reports.push(report);
    this.#reports = this.#reports.slice(-MAX_PENDING_REPORTS);
  }
}
