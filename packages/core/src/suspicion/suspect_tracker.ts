/**
 * The leader's record of server deaths and of the requests in flight at them.
 *
 * A request in flight at one death is a suspect and runs apart from other
 * suspects. One that is the only explanation of two deaths is condemned, and
 * what was in flight with it is cleared, as is a suspect that survives a run.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  CRASH_REPORT_WINDOW_MS,
  dropOldest,
  MAX_CRASHES,
  MAX_SUSPECTS,
  QUARANTINE_CRASH_COUNT,
  SUSPECT_TTL_MS,
} from "./bounds.ts";

/** How much longer a suspect is taken to run than its host says. */
const ADMISSION_MARGIN_MS = 1000;

/** A request that is to be quarantined on every host. */
export type CrashingRequest = protocol.suspicion.InFlightRequest;

type Death = {
  readonly at: number;
  readonly fingerprints: Set<string>;
};

type Suspect = {
  readonly request: protocol.suspicion.InFlightRequest;
  /** Deaths at which it was in flight and that nothing else explains. */
  readonly deaths: Set<string>;
  expiresAt: number;
};

type Admission = {
  readonly host: string;
  readonly server: string;
  readonly until: number;
};

/**
 * Suspects of the whole fleet, kept by the leader.
 *
 * @example
 * ```ts
 * const watched = ledger.exchange(host, reports, now);
 * for (const request of ledger.condemned(now)) {
 *   await propose(quarantineOf(request));
 *   ledger.forget(request.fingerprint);
 * }
 * ```
 */
export class SuspectTracker {
  readonly #suspects = new Map<string, Suspect>();
  readonly #deaths = new Map<string, Death>();
  readonly #admissions = new Map<string, Admission>();

  /** Takes in one host's reports and answers with what it must know. */
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
   * Requests that are to be quarantined. They stay suspects, and are returned
   * again, until they are forgotten.
   */
  crashingRequests(now: number): CrashingRequest[] {
    this.#expire(now);
    const result: CrashingRequest[] = [];
    for (const { at, fingerprints } of this.#deaths.values()) {
      if (now >= at + CRASH_REPORT_WINDOW_MS) {
        const culprit = this.#onlyCulprit(fingerprints);
        if (culprit !== undefined && !result.includes(culprit)) {
          result.push(culprit);
        }
      }
    }
    result.forEach(({ fingerprint }) => this.#clearOthers(fingerprint));
    return result;
  }

  /** Ends the watch over a request: it is quarantined now, or released. */
  forget(fingerprint: string): void {
    for (const death of this.#suspects.get(fingerprint)?.deaths ?? []) {
      this.#deaths.get(death)?.fingerprints.delete(fingerprint);
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
        return this.#recordDeath(report, now);
      case "waiting":
        return this.#admit(host, report, now);
      case "ended":
        return this.#end(host, report);
    }
  }

  #recordDeath(
    report: protocol.suspicion.SuspicionReport & { kind: "death" },
    now: number,
  ): void {
    const name = `${report.server}/${report.incarnation}`;
    const death = this.#deaths.get(name) ??
      { at: now, fingerprints: new Set<string>() };
    this.#deaths.set(name, death);
    for (const request of report.inFlight) {
      death.fingerprints.add(request.fingerprint);
      this.#suspect(request, name, now);
    }
    dropOldest(this.#deaths, MAX_CRASHES, (oldest) => this.#explain(oldest));
    dropOldest(this.#suspects, MAX_SUSPECTS, (oldest) => this.forget(oldest));
  }

  #suspect(
    request: protocol.suspicion.InFlightRequest,
    death: string,
    now: number,
  ): void {
    const { fingerprint } = request;
    const suspect = this.#suspects.get(fingerprint) ??
      { request, deaths: new Set<string>(), expiresAt: 0 };
    suspect.deaths.add(death);
    suspect.expiresAt = now + SUSPECT_TTL_MS;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
  }

  /** A suspect runs once at a time, and on a server without another one. */
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
    if (this.#isOnTrial(suspect, now)) {
      return;
    }
    const taken = new Set(
      [...this.#admissions.values()].map((admission) => admission.server),
    );
    const server = servers.find((one) => !taken.has(one));
    if (server !== undefined) {
      const until = now + runMs + ADMISSION_MARGIN_MS;
      this.#admissions.set(fingerprint, { host, server, until });
    }
  }

  /** Whether it is condemned, or may be once all hosts have reported. */
  #isOnTrial({ request, deaths }: Suspect, now: number): boolean {
    return deaths.size >= QUARANTINE_CRASH_COUNT &&
      [...deaths].map((name) => this.#deaths.get(name)!).some((death) =>
        now < death.at + CRASH_REPORT_WINDOW_MS ||
        this.#onlyCulprit(death.fingerprints) === request
      );
  }

  #end(
    host: string,
    report: protocol.suspicion.SuspicionReport & { kind: "ended" },
  ): void {
    const { fingerprint, survived } = report;
    if (survived) {
      this.forget(fingerprint);
    } else if (this.#admissions.get(fingerprint)?.host === host) {
      this.#admissions.delete(fingerprint);
    }
  }

  #watched(
    host: string,
    now: number,
  ): protocol.suspicion.WatchedFingerprint[] {
    return [...this.#suspects].map(([fingerprint, { expiresAt }]) => {
      const admission = this.#admissions.get(fingerprint);
      if (admission?.host === host) {
        const { server, until } = admission;
        const remainingMs = until - now;
        return { kind: "admitted", fingerprint, server, remainingMs };
      }
      return { kind: "suspect", fingerprint, remainingMs: expiresAt - now };
    });
  }

  /** The one request of a death that was in flight at enough of them. */
  #onlyCulprit(fingerprints: ReadonlySet<string>): CrashingRequest | undefined {
    const culprits = [...fingerprints]
      .map((fingerprint) => this.#suspects.get(fingerprint))
      .filter((suspect) =>
        suspect !== undefined && suspect.deaths.size >= QUARANTINE_CRASH_COUNT
      );
    return culprits.length === 1 ? culprits[0]!.request : undefined;
  }

  /** The deaths at which a condemned request was present are explained. */
  #clearOthers(fingerprint: string): void {
    for (const death of this.#suspects.get(fingerprint)?.deaths ?? []) {
      const { fingerprints } = this.#deaths.get(death)!;
      for (const other of fingerprints) {
        if (other !== fingerprint) {
          this.#acquit(other, death);
          fingerprints.delete(other);
        }
      }
    }
  }

  #explain(death: string): void {
    for (const fingerprint of this.#deaths.get(death)?.fingerprints ?? []) {
      this.#acquit(fingerprint, death);
    }
    this.#deaths.delete(death);
  }

  #acquit(fingerprint: string, death: string): void {
    const suspect = this.#suspects.get(fingerprint);
    suspect?.deaths.delete(death);
    if (suspect?.deaths.size === 0) {
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
    for (const [name, { at }] of this.#deaths) {
      if (at + SUSPECT_TTL_MS <= now) {
        this.#explain(name);
      }
    }
    for (const [fingerprint, { until }] of this.#admissions) {
      if (until <= now) {
        this.#admissions.delete(fingerprint);
      }
    }
  }
}
