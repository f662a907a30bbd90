/**
 * A simulated fleet under drawn traffic: hosts, one leader, and servers that
 * requests with certain attributes crash.
 *
 * @module
 */
import { suspicion } from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";

type Attribute = protocol.suspicion.Attribute;

const STEP_MS = 10;
/** Interval at which a host asks for admissions again, in milliseconds. */
const WAITING_REPORT_MS = 250;
/** Interval at which the leader looks for causes, in milliseconds. */
const CHECK_MS = 100;
/** Time from the verdict until all hosts know it, in milliseconds. */
const COMMIT_MS = 30;
/** Time that a request waits for a server, in milliseconds. */
const PATIENCE_MS = 15_000;

/** A kind of request and what its requests share. */
export type Kind = {
  readonly name: string;
  readonly perSecond: number;
  /** Number of parts at each place of the prompt before the last one. */
  readonly parts: readonly number[];
  readonly models: number;
  /** Run time, in milliseconds: the shortest, and the mean beyond it. */
  readonly shortestMs: number;
  readonly meanMs: number;
};

/** A simulated day. */
export type Day = {
  readonly hosts: number;
  readonly servers: number;
  readonly slots: number;
  readonly kinds: readonly Kind[];
  /** Attributes that crash servers, each by kind and name. */
  readonly crashing: readonly string[];
  /** Requests with a crashing attribute a second, for each. */
  readonly crashingPerSecond: number;
  /** Crashes of single servers for other causes a second. */
  readonly otherCrashesPerSecond: number;
  /** Times at which a third of the servers crashes at once, in milliseconds. */
  readonly outagesAt: readonly number[];
  /** Times at which the leader is lost, in milliseconds. */
  readonly leadersLostAt: readonly number[];
  readonly lengthMs: number;
  readonly random: () => number;
};

type Request = {
  readonly fingerprint: string;
  readonly attributes: readonly Attribute[];
  /** Crashing attribute, if any. */
  readonly cause: string | undefined;
  readonly host: number;
  readonly arrivedAt: number;
  readonly runMs: number;
};

type Run = {
  readonly request: Request;
  readonly beganAt: number;
  readonly endsAt: number;
};

type Server = {
  id: string;
  slot: number;
  upAt: number;
  runs: Run[];
};

/** A request and how it ended. */
export type Outcome = {
  readonly request: Request;
  readonly kind: "served" | "crashed" | "refused" | "expired";
  readonly waitedMs: number;
};

/** Runs a day. */
export class FleetSimulation {
  readonly outcomes: Outcome[] = [];
  /** Quarantined attributes, by kind and name. */
  readonly quarantined: string[] = [];
  /** Times of the crashes by crashing attribute. */
  readonly crashesAt = new Map<string, number[]>();
  /** Times at which requests with a crashing attribute were sent. */
  readonly sentAt = new Map<string, number[]>();
  readonly #day: Day;
  readonly #hosts: suspicion.HostSuspects[];
  readonly #knownRevisions: number[];
  readonly #reportedAt: number[];
  readonly #servers: Server[];
  readonly #quarantines = new Set<string>();
  #tracker: suspicion.SuspectTracker;
  #waiting: Request[] = [];
  #pendingVerdicts: { at: number; cause: suspicion.CrashingRequest }[] = [];
  #requests = 0;
  #serverStarts = 0;
  #term = 0;

  constructor(day: Day) {
    this.#day = day;
    const counts = suspicion.SHARED_SERVER_CRASH_COUNTS;
    this.#hosts = range(day.hosts).map(() =>
      new suspicion.HostSuspects(counts)
    );
    this.#knownRevisions = range(day.hosts).map(() => 0);
    this.#reportedAt = range(day.hosts).map(() => 0);
    this.#servers = range(day.servers).map((slot) => this.#startServer(slot));
    this.#tracker = this.#createTracker();
  }

  run(): this {
    const { leadersLostAt, lengthMs, outagesAt } = this.#day;
    for (let now = 0; now < lengthMs; now += STEP_MS) {
      if (leadersLostAt.includes(now)) this.#replaceLeader(now);
      if (outagesAt.includes(now)) this.#failDomain(now);
      this.#arrive(now);
      this.#crashForOtherCauses(now);
      this.#endRuns(now);
      this.#dispatch(now);
      this.#exchange(now);
      if (now % CHECK_MS === 0) this.#judge(now);
      this.#applyVerdicts(now);
    }
    return this;
  }

  #createTracker(): suspicion.SuspectTracker {
    return new suspicion.SuspectTracker(
      suspicion.SHARED_SERVER_CRASH_COUNTS,
      {
        isQuarantined: (fingerprint) => this.#quarantines.has(fingerprint),
        serverCount: () => this.#servers.length,
      },
    );
  }

  #startServer(slot: number): Server {
    this.#serverStarts += 1;
    return { id: `s${this.#serverStarts}`, slot, upAt: 0, runs: [] };
  }

  #replaceLeader(now: number): void {
    this.#tracker = this.#createTracker();
    this.#term += 1;
    this.#knownRevisions.fill(-1);
    for (const host of this.#hosts) host.beginTerm(now);
  }

  #failDomain(now: number): void {
    for (const server of this.#servers) {
      if (server.slot % 3 === 0) this.#crash(server, now);
    }
  }

  #arrive(now: number): void {
    const { crashing, crashingPerSecond, kinds } = this.#day;
    for (const kind of kinds) {
      if (this.#happens(kind.perSecond)) this.#add(kind, undefined, now);
    }
    for (const cause of crashing) {
      if (this.#happens(crashingPerSecond)) this.#add(kinds[0]!, cause, now);
    }
  }

  #happens(perSecond: number): boolean {
    return this.#day.random() < perSecond * STEP_MS / 1_000;
  }

  #pick(count: number): number {
    return Math.floor(this.#day.random() * count);
  }

  #add(kind: Kind, cause: string | undefined, now: number): void {
    const { hosts, random } = this.#day;
    this.#requests += 1;
    const parts = kind.parts.map((count, place) => {
      const name = () =>
        `prompt-part ${kind.name}-${place}-${this.#pick(count)}`;
      if (cause?.startsWith(`prompt-part ${kind.name}-${place}-`)) return cause;
      let part = name();
      while (this.#day.crashing.includes(part)) part = name();
      return part;
    });
    const model = `model m${this.#pick(kind.models)}`;
    const prefix = `prompt-prefix ${model} ${parts.join(",")}`;
    const names = [...parts.toReversed(), model, prefix];
    this.#waiting.push({
      fingerprint: `r${this.#requests}`,
      attributes: names.map((name) => ({
        fingerprint: name,
        kind: name.split(" ")[0] as Attribute["kind"],
        name,
      })),
      cause,
      host: this.#pick(hosts),
      arrivedAt: now,
      runMs: cause === undefined
        ? kind.shortestMs - Math.log(1 - random()) * kind.meanMs
        : 100 + random() * 60,
    });
  }

  #crashForOtherCauses(now: number): void {
    if (!this.#happens(this.#day.otherCrashesPerSecond)) return;
    const server = this.#servers[this.#pick(this.#servers.length)]!;
    if (server.upAt <= now) this.#crash(server, now);
  }

  #crash(server: Server, now: number): void {
    const byHost = new Map<number, Run[]>();
    for (const run of server.runs) {
      const { host } = run.request;
      byHost.set(host, [...byHost.get(host) ?? [], run]);
    }
    for (const [host, runs] of byHost) {
      for (const { beganAt, request } of runs) {
        const { attributes, fingerprint } = request;
        this.#hosts[host]!.recordCrash(server.id, "1", [{
          fingerprint,
          workspace: "w",
          model: "m",
          attributes: [...attributes],
          ranMs: now - beganAt,
        }], now);
        this.#hosts[host]!.recordEnd(fingerprint, false);
        this.#end(request, "crashed", beganAt - request.arrivedAt);
      }
    }
    const renewed = this.#startServer(server.slot);
    server.id = renewed.id;
    server.runs = [];
    server.upAt = now + 2_000 + this.#day.random() * 4_000;
  }

  #endRuns(now: number): void {
    for (const server of this.#servers) {
      const culprit = server.runs.find(({ endsAt, request }) =>
        request.cause !== undefined && endsAt <= now
      );
      if (culprit !== undefined) {
        push(this.crashesAt, culprit.request.cause!, now);
        this.#crash(server, now);
        continue;
      }
      const ended = server.runs.filter(({ endsAt }) => endsAt <= now);
      server.runs = server.runs.filter(({ endsAt }) => endsAt > now);
      for (const { beganAt, request } of ended) {
        const attributes = request.attributes.map((one) => one.fingerprint);
        const host = this.#hosts[request.host]!;
        host.recordEnd(request.fingerprint, true, beganAt);
        host.recordRun({ attributes, beganAt });
        this.#end(request, "served", beganAt - request.arrivedAt);
      }
    }
  }

  #dispatch(now: number): void {
    const { slots } = this.#day;
    const waiting = this.#waiting;
    this.#waiting = [];
    const free = this.#servers.filter(({ runs, upAt }) =>
      upAt <= now && runs.length < slots
    ).sort((one, other) => one.runs.length - other.runs.length);
    for (const request of waiting) {
      const { arrivedAt, cause, fingerprint } = request;
      const host = this.#hosts[request.host]!;
      const attributes = request.attributes.map((one) => one.fingerprint);
      if (attributes.some((one) => this.#quarantines.has(one))) {
        host.recordEnd(fingerprint, false);
        this.#end(request, "refused", now - arrivedAt);
        continue;
      }
      if (now > arrivedAt + PATIENCE_MS) {
        host.recordEnd(fingerprint, false);
        this.#end(request, "expired", now - arrivedAt);
        continue;
      }
      const permission = host.permissionFor(fingerprint, now, attributes);
      const server = permission.kind === "admitted"
        ? free.find(({ id }) => id === permission.server)
        : permission.kind === "clear"
        ? free[this.#pick(Math.min(4, free.length))]
        : undefined;
      if (server === undefined) {
        this.#waiting.push(request);
        if (permission.kind === "admitted") host.returnAdmission(fingerprint);
        if (permission.kind === "clear") continue;
        const ids = free.map(({ id }) => id);
        host.requestAdmission(fingerprint, ids, PATIENCE_MS, attributes);
        continue;
      }
      if (permission.kind === "admitted") host.recordStart(fingerprint);
      if (cause !== undefined) push(this.sentAt, cause, now);
      const endsAt = now + request.runMs;
      server.runs.push({ request, beganAt: now, endsAt });
    }
  }

  #exchange(now: number): void {
    this.#hosts.forEach((host, index) => {
      const isDue = host.hasNewReports ||
        this.#knownRevisions[index] !== this.#tracker.revision ||
        (host.hasReports &&
          now - this.#reportedAt[index]! >= WAITING_REPORT_MS);
      if (!isDue) return;
      this.#reportedAt[index] = now;
      const reports = host.takeReports(now);
      const watched = this.#tracker.exchange(`h${index}`, reports, now);
      this.#knownRevisions[index] = this.#tracker.revision;
      host.update(watched, now);
    });
  }

  #judge(now: number): void {
    for (const cause of this.#tracker.crashingRequests(now)) {
      const isPending = this.#pendingVerdicts.some((one) =>
        one.cause.fingerprint === cause.fingerprint
      );
      if (!isPending) {
        this.#pendingVerdicts.push({ at: now + COMMIT_MS, cause });
      }
    }
  }

  #applyVerdicts(now: number): void {
    const due = this.#pendingVerdicts.filter(({ at }) => at <= now);
    this.#pendingVerdicts = this.#pendingVerdicts.filter(({ at }) => at > now);
    for (const { cause } of due) {
      this.#quarantines.add(cause.fingerprint);
      this.quarantined.push(cause.attribute?.name ?? cause.fingerprint);
      this.#tracker.forget(cause.fingerprint);
    }
  }

  #end(request: Request, kind: Outcome["kind"], waitedMs: number): void {
    this.outcomes.push({ request, kind, waitedMs });
  }
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function push(map: Map<string, number[]>, key: string, value: number): void {
  map.set(key, [...map.get(key) ?? [], value]);
}
