import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import fastCheck from "fast-check";
import {
  LimitedWorkspaces,
  SharedRateLimiter,
  UsageTracker,
} from "../../src/gateway/mod.ts";
import * as rateWindows from "./rate_windows.ts";

const RATE = {
  unit: "tokens",
  perSecond: 20_000,
  burst: 20_000,
  plainTokens: 100,
} as const;
const WORKSPACES = [{ name: "shop", keys: [], rate: RATE }];
const { REQUEST_TOKENS } = rateWindows;
const SECOND_MS = 1_000;

/** Interval of reports, and time for which a report or its answer is away. */
const REPORT_INTERVAL_MS = 250;
/** Time from the end of a process until its successor serves. */
const RESTART_MS = 600;
/** Time without a leader, and within which a new one has heard all hosts. */
const ELECTION_MS = 1_000;
const SETTLE_MS = 2_600;
const STARTS_AT = 5_000;
const ENDS_AT = 20_000;
const STEP_MS = 5;

type Play = {
  readonly hostCount: number;
  /** Requested tokens, as a multiple of the rate. */
  readonly load: number;
  /** Pause between the ends of two hosts, which end in turn. */
  readonly gapMs: number;
  /** Hosts that end at the same moment. */
  readonly together: number;
  /** Time of a change of the leader, if there is one. */
  readonly electionAt: number | undefined;
};

/** Host of a fleet whose hosts end and begin again in turn. */
class Host {
  limiter: SharedRateLimiter;
  name: string;
  answeredTerm = 0;
  usageRevision = 0;
  reportedAt = -Infinity;
  readyAt = 0;

  constructor(index: number) {
    this.name = `h${index}/0`;
    this.limiter = new SharedRateLimiter(0);
    this.limiter.setRate("shop", RATE, 0);
    this.limiter.setHostCount(Infinity);
  }

  restart(now: number): void {
    this.name += "+";
    this.limiter = new SharedRateLimiter(now);
    this.limiter.setRate("shop", RATE, now);
    this.limiter.setHostCount(Infinity);
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
    this.answeredTerm = leader.term;
    this.reportedAt = now;
  }
}

class Leader {
  readonly term: number;
  readonly tracker = new UsageTracker();
  readonly limited: LimitedWorkspaces;
  readonly #startedAt: number;

  constructor(term: number, now: number) {
    this.term = term;
    this.#startedAt = now;
    this.limited = new LimitedWorkspaces(now);
    this.limited.setRates(WORKSPACES, now);
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
    this.limited.update(this.#isSettled(now), now);
  }

  missingFor(isFirst: boolean, now: number): gateway.WorkspaceUsage[] {
    return this.limited.missing(!isFirst || this.#isSettled(now), now);
  }

  #isSettled(now: number): boolean {
    return now - this.#startedAt >= SETTLE_MS;
  }
}

/** Plays one workspace's requests at a fleet whose hosts restart. */
function play(options: Play): rateWindows.SimulatedRequest[] {
  const { electionAt, gapMs, hostCount, load, together } = options;
  const hosts = Array.from(
    { length: hostCount },
    (_, index) => new Host(index),
  );
  let leader = new Leader(1, 0);
  let nextRestartAt = STARTS_AT + 1_000;
  let restarted = 0;
  let requested = 0;
  const requests: rateWindows.SimulatedRequest[] = [];
  for (let now = 0; now < ENDS_AT; now += STEP_MS) {
    const hasLeader = electionAt === undefined || now < electionAt ||
      now >= electionAt + ELECTION_MS;
    if (hasLeader && electionAt !== undefined && now >= electionAt) {
      if (leader.term === 1) leader = new Leader(2, now);
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
    requested += load * RATE.perSecond * STEP_MS / SECOND_MS;
    while (requested >= REQUEST_TOKENS && ready.length > 0) {
      requested -= REQUEST_TOKENS;
      const host = ready[requests.length % ready.length]!;
      const isLimited = leader.limited.names.has("shop");
      if (hasLeader && isLimited) host.report(leader, hostCount, now);
      const draw = (requests.length * 0.618) % 1;
      const isAdmitted = hasLeader
        ? host.limiter.tryConsume("shop", REQUEST_TOKENS, now)
        : host.limiter.tryConsumePart("shop", REQUEST_TOKENS, now, draw);
      requests.push({ at: now, isAdmitted });
      const isReported = isAdmitted && leader.limited.names.has("shop");
      if (hasLeader && isReported) host.report(leader, hostCount, now);
    }
  }
  return requests;
}

const SEED = 20_261_206;
const PLAYS = fastCheck.record({
  hostCount: fastCheck.constantFrom(3, 7, 87, 195),
  gapMs: fastCheck.constantFrom(100, 400, 1_000),
  together: fastCheck.constantFrom(1, 2, 5),
  electionAt: fastCheck.option(
    fastCheck.integer({ min: STARTS_AT, max: 12_000 }),
    { nil: undefined },
  ),
});

describe("rates while hosts restart", () => {
  // Each host that began took a full burst, whatever the others had used.
  it("are not exceeded over all hosts", () => {
    fastCheck.assert(
      fastCheck.property(
        PLAYS,
        fastCheck.constantFrom(2, 6, 12),
        (options, load) => {
          expect(rateWindows.busiestWindow(play({ ...options, load }))).to.be.at
            .most(
              rateWindows.allowedTokens(RATE),
            );
        },
      ),
      {
        seed: SEED,
        numRuns: 60,
        examples: [
          // Each of many hosts admitted a request before it told of its last one.
          [{ hostCount: 87, gapMs: 100, together: 5, electionAt: 9_861 }, 6],
          [{ hostCount: 87, gapMs: 100, together: 1, electionAt: 7_231 }, 6],
          // A leader that began counted a workspace as far below its rate.
          [
            { hostCount: 195, gapMs: 1_000, together: 2, electionAt: 11_698 },
            12,
          ],
        ],
      },
    );
  });

  it("let a workspace below them use what it needs", () => {
    fastCheck.assert(
      fastCheck.property(PLAYS, (options) => {
        const requests = play({ ...options, load: 0.6, electionAt: undefined });
        const refused = requests.filter(({ isAdmitted }) => !isAdmitted);
        expect(refused).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: 60 },
    );
  });

  it("let it use that although the leader changes, too, once it has settled", () => {
    fastCheck.assert(
      fastCheck.property(PLAYS, (options) => {
        const { electionAt = ENDS_AT } = options;
        const settledAt = electionAt + ELECTION_MS + SETTLE_MS;
        const refused = play({ ...options, load: 0.6 })
          .filter(({ isAdmitted }) => !isAdmitted)
          .filter(({ at }) => at < electionAt || at > settledAt);
        expect(refused).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});

describe("a rate limiter that begins", () => {
  it("fills its buckets from its start on, until levels are told", () => {
    const limiter = new SharedRateLimiter(1_000);
    limiter.setRate("shop", RATE, 1_500);
    expect(limiter.availableFraction("shop", 1_500)).to.equal(0.5);
    limiter.applyLevels([], true, 1_500);
    expect(limiter.availableFraction("shop", 1_500)).to.equal(1);
  });

  it("takes over told levels less what it has used itself since", () => {
    const limiter = new SharedRateLimiter(0);
    limiter.setRate("shop", RATE, 1_000);
    expect(limiter.tryConsume("shop", 2_000, 1_000)).to.equal(true);
    const report = limiter.usage();
    expect(limiter.tryConsume("shop", 3_000, 1_000)).to.equal(true);
    limiter.acknowledgeUsage(report);
    limiter.applyLevels([{ workspace: "shop", tokens: 12_000 }], true, 1_000);
    expect(limiter.availableFraction("shop", 1_000)).to.equal(0.25);
  });

  it("keeps what it knows if a later leader knows of less", () => {
    const limiter = new SharedRateLimiter(0);
    limiter.setRate("shop", RATE, 1_000);
    limiter.tryConsume("shop", 15_000, 1_000);
    limiter.acknowledgeUsage(limiter.usage());
    limiter.applyLevels([{ workspace: "shop", tokens: 1_000 }], false, 1_000);
    expect(limiter.availableFraction("shop", 1_000)).to.equal(0.25);
    limiter.applyLevels([{ workspace: "shop", tokens: 16_000 }], false, 1_000);
    expect(limiter.availableFraction("shop", 1_000)).to.equal(0.2);
  });

  it("takes over the level of a workspace that it hears of later", () => {
    const limiter = new SharedRateLimiter(0);
    limiter.applyLevels([{ workspace: "shop", tokens: 12_000 }], true, 500);
    limiter.setRate("shop", RATE, 500);
    limiter.setRate("new", RATE, 500);
    expect(limiter.availableFraction("shop", 500)).to.equal(0.4);
    expect(limiter.availableFraction("new", 500)).to.equal(1);
  });
});

describe("a workspace that leaves the configuration and comes back", () => {
  // It got a full burst each time.
  it("continues with what it lacked", () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", RATE, 0);
    limiter.tryConsume("shop", 20_000, 0);
    limiter.retainWorkspaces(new Set(), 0);
    expect(limiter.missing(250))
      .to.deep.equal([{ workspace: "shop", tokens: 15_000 }]);
    limiter.setRate("shop", RATE, 500);
    expect(limiter.availableFraction("shop", 500)).to.equal(0.5);
    limiter.retainWorkspaces(new Set(), 500);
    limiter.setRate("shop", RATE, 60_000);
    expect(limiter.availableFraction("shop", 60_000)).to.equal(1);
  });
});
