import type { gateway } from "@ebonypath/protocol";
import {
  LimitedWorkspaces,
  SharedRateLimiter,
  UsageTracker,
} from "../../src/gateway/mod.ts";
import * as rateWindows from "./rate_windows.ts";

const { REQUEST_TOKENS } = rateWindows;
const SECOND_MS = 1_000;

/** Interval of reports, and time for which a report or its answer is away. */
const REPORT_INTERVAL_MS = 250;
/** Time from the end of a process until its successor serves. */
const RESTART_MS = 600;
/** Time without a leader, and within which a new one has heard all hosts. */
export const ELECTION_MS = 1_000;
export const SETTLE_MS = 2_600;
export const STARTS_AT = 5_000;
export const ENDS_AT = 20_000;
const STEP_MS = 5;

/** A workspace of a simulated fleet. */
export type SimulatedWorkspace = {
  readonly name: string;
  /** Rate that the hosts enforce. */
  readonly rate: gateway.RateLimit;
  /** Tokens that it requests per second. */
  readonly tokensPerSecond: number;
};

export type Play = {
  readonly hostCount: number;
  /** Pause between the ends of two hosts, which end in turn. */
  readonly gapMs: number;
  /** Hosts that end at the same moment. */
  readonly together: number;
  /** Time of a change of the leader, if there is one. */
  readonly electionAt: number | undefined;
};

/** Host of a fleet whose hosts end and begin again in turn. */
class Host {
  readonly #workspaces: readonly gateway.Workspace[];
  limiter: SharedRateLimiter;
  name: string;
  answeredTerm = 0;
  usageRevision = 0;
  reportedAt = -Infinity;
  readyAt = 0;

  constructor(index: number, workspaces: readonly gateway.Workspace[]) {
    this.name = `h${index}/0`;
    this.#workspaces = workspaces;
    this.limiter = this.#begin(0);
  }

  #begin(now: number): SharedRateLimiter {
    const limiter = new SharedRateLimiter(now);
    limiter.setRates(this.#workspaces, now);
    limiter.setHostCount(Infinity);
    return limiter;
  }

  restart(now: number): void {
    this.name += "+";
    this.limiter = this.#begin(now);
    this.answeredTerm = 0;
    this.usageRevision = 0;
    this.readyAt = now + RESTART_MS;
  }

  report(leader: Leader, hostCount: number, now: number): void {
    const { limiter } = this;
    const usage = limiter.usage();
    const isNewLeader = this.answeredTerm > 0 &&
      this.answeredTerm !== leader.term;
    leader.record(
      this.name,
      usage,
      isNewLeader ? limiter.missing(now) : [],
      now,
    );
    limiter.acknowledgeUsage(usage);
    const isFirst = this.answeredTerm === 0;
    const isAnswered = this.answeredTerm === leader.term;
    limiter.applyRemoteUsage(
      leader.term,
      leader.tracker.othersUsage(
        this.name,
        isAnswered ? this.usageRevision : 0,
      ),
      now,
    );
    this.usageRevision = leader.tracker.revision;
    limiter.setHostCount(hostCount);
    if (!isAnswered) {
      limiter.applyLevels(leader.missingFor(isFirst, now), isFirst, now);
    }
    const isPresumed = isFirst && !leader.isSettled(now);
    this.answeredTerm = isPresumed ? 0 : leader.term;
    this.reportedAt = now;
  }
}

class Leader {
  readonly term: number;
  readonly tracker = new UsageTracker();
  readonly limited: LimitedWorkspaces;
  readonly #startedAt: number;

  constructor(
    term: number,
    workspaces: readonly gateway.Workspace[],
    now: number,
  ) {
    this.term = term;
    this.#startedAt = now;
    this.limited = new LimitedWorkspaces(now);
    this.limited.setRates(workspaces, now);
  }

  record(
    host: string,
    usage: readonly gateway.ReportedUsage[],
    missing: readonly gateway.WorkspaceUsage[],
    now: number,
  ): void {
    this.tracker.recordUsage(
      host,
      usage,
      (workspace, tokens) => this.limited.recordUsage(workspace, tokens, now),
    );
    this.limited.recordMissing(missing, now);
    this.limited.update(this.isSettled(now), now);
  }

  missingFor(isFirst: boolean, now: number): gateway.WorkspaceUsage[] {
    return this.limited.missing(!isFirst || this.isSettled(now), now);
  }

  isSettled(now: number): boolean {
    return now - this.#startedAt >= SETTLE_MS;
  }
}

/** Plays the requests of workspaces at a fleet whose hosts restart. */
export function play(
  options: Play,
  simulated: readonly SimulatedWorkspace[],
): ReadonlyMap<string, readonly rateWindows.SimulatedRequest[]> {
  const { electionAt, gapMs, hostCount, together } = options;
  const workspaces = simulated.map(({ name, rate }) => ({
    name,
    keys: [],
    rate,
  }));
  const hosts = Array.from(
    { length: hostCount },
    (_, index) => new Host(index, workspaces),
  );
  let leader = new Leader(1, workspaces, 0);
  let nextRestartAt = STARTS_AT + 1_000;
  let restarted = 0;
  let sent = 0;
  const loads = simulated.map(({ name, tokensPerSecond }) => ({
    name,
    tokensPerSecond,
    requested: 0,
    requests: [] as rateWindows.SimulatedRequest[],
  }));
  for (let now = 0; now < ENDS_AT; now += STEP_MS) {
    const hasLeader = electionAt === undefined || now < electionAt ||
      now >= electionAt + ELECTION_MS;
    if (hasLeader && electionAt !== undefined && now >= electionAt) {
      if (leader.term === 1) leader = new Leader(2, workspaces, now);
    }
    if (now >= nextRestartAt && restarted < hostCount) {
      for (
        let count = 0;
        count < together && restarted < hostCount;
        count += 1
      ) {
        hosts[restarted]!.restart(now);
        restarted += 1;
      }
      nextRestartAt += gapMs;
    }
    const ready = hosts.filter(({ readyAt }) => now >= readyAt);
    for (const host of ready) {
      const isDue = now - host.reportedAt >= REPORT_INTERVAL_MS ||
        host.answeredTerm !== leader.term;
      if (hasLeader && isDue) host.report(leader, hostCount, now);
    }
    if (now < STARTS_AT) continue;
    for (const load of loads) {
      const { name, requests, tokensPerSecond } = load;
      load.requested += tokensPerSecond * STEP_MS / SECOND_MS;
      while (load.requested >= REQUEST_TOKENS && ready.length > 0) {
        load.requested -= REQUEST_TOKENS;
        const host = ready[sent % ready.length]!;
        const isLimited = leader.limited.names.has(name);
        if (hasLeader && isLimited) host.report(leader, hostCount, now);
        const draw = (sent * 0.618) % 1;
        const isAdmitted = hasLeader
          ? host.limiter.tryConsume(name, REQUEST_TOKENS, now)
          : host.limiter.tryConsumePart(name, REQUEST_TOKENS, now, draw);
        requests.push({ at: now, isAdmitted });
        sent += 1;
        const isReported = isAdmitted && leader.limited.names.has(name);
        if (hasLeader && isReported) host.report(leader, hostCount, now);
      }
    }
  }
  return new Map(loads.map(({ name, requests }) => [name, requests]));
}
