/**
 * Leader's record of server crashes and of what the requests in flight at each
 * crash have in common. A crash is any unexpected end of a server, whatever its
 * cause.
 *
 * Each attribute of a request that was in flight at a crash is a suspect: the
 * request itself, a part of its prompt, its adapter or model. A run of any
 * request with the attribute without a crash contradicts the crashes from before
 * it. After a number of crashes, requests with the attribute run one at a time and
 * isolated from other suspects. An attribute that explains several crashes, one of
 * them while it was isolated, and that no other explains better, is confirmed.
 * Crashes of servers for another common cause don't confirm an attribute, however
 * many servers ran it.
 *
 * @module
 */

import type * as protocol from "@ebonypath/protocol";
import {
  CRASH_RATE_WINDOWS_MS,
  CRASH_REPORT_WINDOW_MS,
  type CrashCounts,
  DEFAULT_CRASH_COUNTS,
  dropOldest,
  MAX_CRASHES,
  MAX_SUSPECTS,
  SEPARATION_MS,
  SUSPECT_TTL_MS,
} from "./bounds.ts";
import * as evidence from "./evidence.ts";

/**
 * Time for which an admission outlasts the run time that the host requested, in
 * milliseconds.
 */
const ADMISSION_MARGIN_MS = 1000;

/**
 * Time in which most of the suspects of a crash are cleared by requests that run
 * elsewhere, in milliseconds.
 */
const CLEARING_MS = 1_000;
/** Time in which a waiting request is reported again, in milliseconds. */
const WAITING_REPORT_MS = 500;

/** Time for which the suspects that explain crashes are kept, in milliseconds. */
const EXPLANATION_MS = 50;

/** Crashes assumed where none was seen; that of the Jeffreys prior. */
const PRIOR_CRASHES = 0.5;

/** An attribute that crashes servers and is to be quarantined on all hosts. */
export type CrashingRequest = {
  readonly fingerprint: string;
  /** Workspace and model of the last request with it. */
  readonly workspace: string;
  readonly model: string;
  /** Absent for a single request. */
  readonly attribute?: protocol.suspicion.NamedAttribute;
};

type Report<Kind> = Extract<
  protocol.suspicion.SuspicionReport,
  { kind: Kind }
>;

type SuspectStatus =
  /** Its requests run as all others. */
  | "clear"
  /** Hosts report runs without a crash. */
  | "observed"
  /** Its requests run only when admitted. */
  | "isolated";

type Suspect = {
  request: CrashingRequest;
  /** Position in the list of a request's attributes, from narrow to wide. */
  rank: number;
  readonly evidence: evidence.Evidence;
  /** Its last admission. */
  admission: { readonly server: string; readonly isAlone: boolean } | undefined;
  /** Time at which a request waited that has no other suspect, in ms. */
  aloneWaitingAt: number;
  status: SuspectStatus;
  /** Time since which it has not been clear, in milliseconds. */
  watchedSince: number;
  expiresAt: number;
};

type Admission = {
  readonly host: string;
  readonly server: string;
  readonly until: number;
  /** Suspects that run with the admission. */
  readonly suspects: ReadonlySet<string>;
};

/** What the leader knows of the fleet. */
export interface FleetState {
  /** Whether an attribute is in quarantine: it explains a crash by itself. */
  isQuarantined(fingerprint: string): boolean;
  /** Number of servers that may crash. */
  serverCount(): number;
}

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
  readonly #fleet: FleetState;
  /** In the order of their last crashes. */
  readonly #suspects = new Map<string, Suspect>();
  /** Fingerprints of the suspects that are not clear. */
  readonly #watchedSuspects = new Set<string>();
  /** In the order of their first reports. */
  readonly #crashes = new Map<string, evidence.Crash>();
  /** By fingerprint of the request. */
  readonly #admissions = new Map<string, Admission>();
  #revision = 0;
  /** Suspects that may explain all their crashes, as of a time. */
  #explaining: {
    readonly at: number;
    readonly suspects: ReadonlySet<Suspect>;
  } = { at: -Infinity, suspects: new Set() };

  constructor(
    counts = DEFAULT_CRASH_COUNTS,
    fleet: FleetState = { isQuarantined: () => false, serverCount: () => 1 },
  ) {
    this.#counts = counts;
    this.#fleet = fleet;
  }

  /** Increases when what hosts have to know of suspects changes. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether any suspect is not clear. */
  get hasWatchedSuspects(): boolean {
    return this.#watchedSuspects.size > 0;
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
   * Attributes that are to be quarantined. They remain suspects and are returned
   * again until {@link forget} is called.
   */
  crashingRequests(now: number): CrashingRequest[] {
    this.#expire(now);
    for (const fingerprint of this.#watchedSuspects) {
      this.#refresh(fingerprint, now);
    }
    const causes = new Set<Suspect>();
    if (this.#explainingSuspects(now).size === 0) return [];
    for (const crash of this.#crashes.values()) {
      if (now < crash.reportedAt + CRASH_REPORT_WINDOW_MS) continue;
      const cause = this.#causeOf(crash, now);
      if (cause !== undefined) causes.add(cause);
    }
    causes.forEach((cause) => this.#explainCrashes(cause, now));
    return [...causes].map(({ request }) => request);
  }

  /** Stops tracking an attribute that is quarantined, released or cleared. */
  forget(fingerprint: string): void {
    this.#forgetExplanations();
    const suspect = this.#suspects.get(fingerprint);
    for (const crash of suspect?.evidence.crashes ?? []) {
      crash.attributes.delete(fingerprint);
    }
    this.#suspects.delete(fingerprint);
    this.#admissions.delete(fingerprint);
    if (this.#watchedSuspects.delete(fingerprint)) this.#revision++;
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
        return this.#recordEnd(host, report, now);
    }
  }

  #recordCrash(report: Report<"death">, now: number): void {
    const { ageMs = 0, incarnation, inFlight, server } = report;
    this.#forgetExplanations();
    const id = `${server}/${incarnation}`;
    const at = now - ageMs;
    const crash = this.#crashes.get(id) ?? {
      id,
      server,
      at,
      reportedAt: now,
      attributes: new Set<string>(),
      explanations: new Set<string>(),
    };
    crash.at = Math.min(crash.at, at);
    this.#crashes.set(id, crash);
    const explanations = crash.explanations.size;
    const changed = inFlight.flatMap((request) =>
      this.#addRequest(request, crash, now)
    );
    const isExplained = crash.explanations.size > explanations;
    for (const fingerprint of isExplained ? crash.attributes : changed) {
      this.#refresh(fingerprint, now);
    }
    dropOldest(this.#crashes, MAX_CRASHES, (oldest) => this.#dropCrash(oldest));
    dropOldest(this.#suspects, MAX_SUSPECTS, (oldest) => this.forget(oldest));
  }

  /** Returns the fingerprints of its attributes. */
  #addRequest(
    request: protocol.suspicion.InFlightRequest,
    crash: evidence.Crash,
    now: number,
  ): string[] {
    const { alone, attributes = [], fingerprint, model, ranMs = 0, workspace } =
      request;
    const self = { fingerprint, workspace, model };
    const named = attributes.map(({ fingerprint, kind, name }) => ({
      fingerprint,
      workspace,
      model,
      attribute: { kind, name },
    }));
    const all = [self, ...named];
    const fingerprints = all.map((one) => one.fingerprint);
    all.forEach((attribute, rank) => {
      const suspect = this.#addSuspect(attribute, rank, now);
      const { admission } = suspect;
      const isIsolated = admission?.server === crash.server;
      const isAlone = alone === attribute.fingerprint ||
        (isIsolated && admission.isAlone);
      suspect.evidence.add(crash, {
        fingerprint,
        beganAt: crash.at - ranMs,
        isIsolated: isIsolated || isAlone,
        isAlone,
        companions: fingerprints.filter((one) => one !== attribute.fingerprint),
      });
      crash.attributes.add(attribute.fingerprint);
      if (this.#fleet.isQuarantined(attribute.fingerprint)) {
        crash.explanations.add(attribute.fingerprint);
      }
    });
    return fingerprints;
  }

  /** Returns a suspect as the most recent one. */
  #addSuspect(request: CrashingRequest, rank: number, now: number): Suspect {
    const { fingerprint } = request;
    const suspect: Suspect = this.#suspects.get(fingerprint) ?? {
      request,
      rank,
      evidence: new evidence.Evidence(),
      admission: undefined,
      aloneWaitingAt: -Infinity,
      status: "clear",
      watchedSince: now,
      expiresAt: 0,
    };
    suspect.request = request;
    suspect.rank = rank;
    suspect.expiresAt = now + SUSPECT_TTL_MS;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  /** Decides anew whether a suspect is isolated. */
  #refresh(fingerprint: string, now: number): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return;
    const { count, unexplainedCount } = suspect.evidence.summarize(fingerprint);
    const isWatched = count >= this.#counts.isolation && unexplainedCount > 0;
    if (!isWatched) suspect.watchedSince = now;
    const isShared = suspect.request.attribute !== undefined;
    const watchedMs = now - suspect.watchedSince;
    const status = !isWatched
      ? "clear"
      : isShared && watchedMs < this.#counts.observationMs
      ? "observed"
      : "isolated";
    if (status === suspect.status) return;
    if (suspect.status === "clear") suspect.watchedSince = now;
    suspect.status = status;
    if (status === "clear") this.#watchedSuspects.delete(fingerprint);
    else this.#watchedSuspects.add(fingerprint);
    this.#revision++;
  }

  /** Whether a suspect would explain each crash at which it was in flight. */
  #mayExplainCrashes({ evidence, request }: Suspect, now: number): boolean {
    const { isolation, maxChance, quarantine, singleServerQuarantine } =
      this.#counts;
    if (evidence.size < quarantine) return false;
    const { count, serverCount, unexplainedCount } = evidence.summarize(
      request.fingerprint,
    );
    const isPartlyExplained = evidence.size > unexplainedCount;
    return count >= (serverCount > 1 ? quarantine : singleServerQuarantine) &&
      unexplainedCount >= (isPartlyExplained ? isolation : 1) &&
      evidence.chance(this.#otherCrashRate(evidence, now)) <= maxChance;
  }

  /**
   * Suspects that may explain each crash at which they were in flight. Kept for a
   * time, as each waiting request asks for them.
   */
  #explainingSuspects(now: number): ReadonlySet<Suspect> {
    const { at, suspects } = this.#explaining;
    if (at <= now && now - at < EXPLANATION_MS) return suspects;
    const explaining = [...this.#watchedSuspects]
      .map((fingerprint) => this.#suspects.get(fingerprint)!)
      .filter((suspect) => this.#mayExplainCrashes(suspect, now));
    this.#explaining = { at: now, suspects: new Set(explaining) };
    return this.#explaining.suspects;
  }

  /**
   * Crashes at which a suspect was the only one suspected of the requests on the
   * server, unless another one in flight has turned out to explain more since.
   */
  #crashesAlone({ evidence }: Suspect, now: number) {
    return evidence.crashesAlone.filter(({ crash }) =>
      ![...crash.attributes].map((one) => this.#suspects.get(one))
        .filter((other) => other !== undefined)
        .some((other) =>
          this.#explainingSuspects(now).has(other) &&
          !evidence.covers(other.evidence)
        )
    );
  }

  /**
   * Other attributes of the requests at crashes that are suspects by now, save
   * combinations of the attribute with others.
   */
  #suspectedCompanions(
    crashes: readonly { readonly companions: ReadonlySet<string> }[],
  ): string[] {
    return crashes.flatMap(({ companions }) => [...companions])
      .filter((one) => this.#watchedSuspects.has(one))
      .filter((one) => !this.#isCombination(one));
  }

  #isCombination(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect?.request.attribute?.kind === "prompt-prefix";
  }

  /** Crashes of one server for other causes, per millisecond. */
  #otherCrashRate(evidence: evidence.Evidence, now: number): number {
    const servers = Math.max(1, this.#fleet.serverCount());
    const others = [...this.#crashes.values()].filter((crash) =>
      !evidence.has(crash)
    );
    const rates = CRASH_RATE_WINDOWS_MS.map((windowMs) =>
      others.filter(({ at }) => at > now - windowMs).length / windowMs
    );
    const priorRate = PRIOR_CRASHES / Math.max(...CRASH_RATE_WINDOWS_MS);
    return (Math.max(...rates) + priorRate) / servers;
  }

  /**
   * Admits a request with suspected attributes to a server. Each of them runs
   * only once at a time, and on a server that runs no other suspect.
   */
  #admit(host: string, report: Report<"waiting">, now: number): void {
    const { attributes = [], fingerprint, runMs, servers } = report;
    if (this.#admissions.has(fingerprint)) return;
    const suspects = this.#suspectsOf([fingerprint, ...attributes]);
    if (suspects.size === 0) return;
    const admissions = [...this.#admissions.values()];
    const running = new Set(admissions.flatMap((one) => [...one.suspects]));
    const isBusy = [...suspects].some((one) => running.has(one));
    if (this.#mayBeConfirmed(suspects, now)) return;
    if (this.#isDeferred(suspects, now) || isBusy) return;
    const occupied = new Set(admissions.map((admission) => admission.server));
    const server = servers.find((name) => !occupied.has(name));
    if (server === undefined) return;
    const until = now + runMs + ADMISSION_MARGIN_MS;
    this.#admissions.set(fingerprint, { host, server, until, suspects });
    for (const one of suspects) {
      const isAlone = suspects.size === 1;
      this.#suspects.get(one)!.admission = { server, isAlone };
    }
  }

  /** Suspects among attributes; a combination counts if none of its members does. */
  #suspectsOf(fingerprints: readonly string[]): ReadonlySet<string> {
    const watched = fingerprints.filter((one) =>
      this.#watchedSuspects.has(one)
    );
    const members = watched.filter((one) => !this.#isCombination(one));
    return new Set(members.length > 0 ? members : watched);
  }

  /**
   * Whether a request with several suspects waits, since a request with a single
   * one of them does, or since runs in progress may clear one: they tell more.
   */
  #isDeferred(fingerprints: ReadonlySet<string>, now: number): boolean {
    const suspects = [...fingerprints].map((one) => this.#suspects.get(one)!);
    const [first, ...others] = suspects;
    if (others.length === 0) {
      first!.aloneWaitingAt = now;
      return false;
    }
    return suspects.some(({ aloneWaitingAt, watchedSince }) =>
      now - aloneWaitingAt < WAITING_REPORT_MS ||
      now - watchedSince < CLEARING_MS
    );
  }

  /**
   * Whether one of a request's suspects is confirmed, or may be once all hosts
   * have reported; or whether all of them explain crashes and have only come
   * together, so that another run would tell nothing new.
   */
  #mayBeConfirmed(
    fingerprints: ReadonlySet<string>,
    now: number,
  ): boolean {
    const suspects = [...fingerprints].map((one) => this.#suspects.get(one)!);
    const explaining = suspects.filter((suspect) =>
      this.#explainingSuspects(now).has(suspect)
    );
    const [first] = explaining;
    if (first === undefined) return false;
    const isGroup = suspects.length > 1 && areInseparable(first, suspects);
    if (isGroup && hasCrashedIsolated(first)) return true;
    return explaining.some((suspect) => {
      const crashes = this.#crashesAlone(suspect, now);
      if (crashes.length === 0) return false;
      const companions = this.#suspectedCompanions(crashes);
      return companions.length === 0 ||
        companions.some((one) => fingerprints.has(one)) ||
        crashes.some(({ crash }) =>
          now < crash.reportedAt + CRASH_REPORT_WINDOW_MS
        );
    });
  }

  #recordEnd(host: string, report: Report<"ended">, now: number): void {
    const { beganMs = 0, fingerprint, survived } = report;
    const admission = this.#admissions.get(fingerprint);
    if (admission !== undefined && (survived || admission.host === host)) {
      this.#admissions.delete(fingerprint);
      this.#revision++;
    }
    if (survived) this.#recordSound(fingerprint, now - beganMs, now);
  }

  /** @param beganAt time at which the run began, in milliseconds */
  #recordSound(fingerprint: string, beganAt: number, now: number): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return;
    suspect.evidence.recordSound(beganAt);
    this.#forgetExplanations();
    if (suspect.evidence.isEmpty) this.forget(fingerprint);
    else this.#refresh(fingerprint, now);
  }

  #watched(
    host: string,
    now: number,
  ): protocol.suspicion.WatchedFingerprint[] {
    const admitted = [...this.#admissions]
      .filter(([, admission]) => admission.host === host)
      .map(([fingerprint, { server, suspects, until }]) => ({
        kind: "admitted" as const,
        fingerprint,
        server,
        ...(suspects.size === 1 ? { alone: [...suspects][0] } : {}),
        remainingMs: until - now,
      }));
    const admittedRequests = new Set(
      admitted.map(({ fingerprint }) => fingerprint),
    );
    const suspects = [...this.#watchedSuspects]
      .filter((fingerprint) => !admittedRequests.has(fingerprint))
      .map((fingerprint) => {
        const { expiresAt, status } = this.#suspects.get(fingerprint)!;
        return {
          kind: "suspect" as const,
          fingerprint,
          ...(status === "observed" ? { isObserved: true } : {}),
          remainingMs: expiresAt - now,
        };
      });
    return [...suspects, ...admitted];
  }

  /**
   * The suspect that is the cause of a crash, if only one may be. Of those that
   * only came together, it is the narrowest one.
   */
  #causeOf(crash: evidence.Crash, now: number): Suspect | undefined {
    const explaining = [...crash.attributes]
      .map((fingerprint) => this.#suspects.get(fingerprint))
      .filter((suspect) => suspect !== undefined)
      .filter((suspect) => this.#explainingSuspects(now).has(suspect));
    const isOver = now >= crash.reportedAt + SEPARATION_MS;
    const alone = explaining.filter((suspect) => {
      const crashes = this.#crashesAlone(suspect, now);
      return crashes.length > 0 &&
        (isOver || this.#suspectedCompanions(crashes).length === 0);
    });
    const [first, ...others] = (alone.length > 0 ? alone : explaining)
      .filter((one, _index, all) =>
        !all.some((other) => other.evidence.exceeds(one.evidence))
      )
      .sort((one, other) => one.rank - other.rank);
    if (first === undefined) return undefined;
    if (alone.length > 0) return others.length === 0 ? first : undefined;
    return isOver && hasCrashedIsolated(first) && others.length > 0 &&
        areInseparable(first, others)
      ? first
      : undefined;
  }

  /** Other suspects of the crashes that a cause explains are not isolated. */
  #explainCrashes({ evidence, request }: Suspect, now: number): void {
    for (const { attributes, explanations } of evidence.crashes) {
      if (explanations.has(request.fingerprint)) continue;
      explanations.add(request.fingerprint);
      this.#forgetExplanations();
      for (const other of attributes) this.#refresh(other, now);
    }
  }

  #forgetExplanations(): void {
    this.#explaining = { at: -Infinity, suspects: new Set() };
  }

  /** Drops a crash from the record and from all of its suspects. */
  #dropCrash(crashId: string): void {
    for (const fingerprint of this.#crashes.get(crashId)?.attributes ?? []) {
      const suspect = this.#suspects.get(fingerprint);
      suspect?.evidence.remove(crashId);
      this.#forgetExplanations();
      if (suspect?.evidence.isEmpty) this.forget(fingerprint);
    }
    this.#crashes.delete(crashId);
  }

  #expire(now: number): void {
    for (const [fingerprint, { expiresAt }] of this.#suspects) {
      if (expiresAt > now) break;
      this.forget(fingerprint);
    }
    for (const [crashId, { reportedAt }] of this.#crashes) {
      if (reportedAt + SUSPECT_TTL_MS > now) break;
      this.#dropCrash(crashId);
    }
    for (const [fingerprint, { until }] of this.#admissions) {
      if (until > now) continue;
      this.#admissions.delete(fingerprint);
      this.#revision++;
    }
  }
}

function hasCrashedIsolated({ evidence, request }: Suspect): boolean {
  return evidence.summarize(request.fingerprint).hasCrashedIsolated;
}

/** Whether suspects were part of the same requests at the same crashes. */
function areInseparable(one: Suspect, others: readonly Suspect[]): boolean {
  return others.every((other) =>
    other.evidence.isInseparableFrom(one.evidence)
  );
}
