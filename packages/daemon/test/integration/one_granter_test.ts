/**
 * Grants of shares by one leader at a time, between real hosts.
 *
 * @module
 */
import { type launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as scenarios from "./scenario.ts";
import * as traffics from "./traffic.ts";

/** Longest wait for the next leader to grant, in milliseconds. */
const NEXT_TIMEOUT_MS = 15_000;

/** Requests that the backend server runs at once. */
const SLOTS = 3;

interface Fault {
  readonly title: string;
  inject(fleet: launcher.Fleet, leader: launcher.FleetHost): void;
  mend(fleet: launcher.Fleet, leader: launcher.FleetHost): void;
}

const FAULTS: readonly Fault[] = [
  {
    title: "a leader that is silently isolated",
    inject: ({ links }, leader) => links.isolate(leader.name),
    mend: ({ links }, leader) => links.heal(leader.name),
  },
  {
    title: "a leader that is stopped and goes on",
    inject: (_, leader) => leader.process.pause(),
    mend: (_, leader) => leader.process.resume(),
  },
];

/** What one leadership granted, from the log of its host. */
interface Term {
  readonly host: string;
  readonly term: number;
  /** First grant; wall clock of the machine, in milliseconds. */
  readonly firstAt: number;
  /** Last grant; absent while it leads. */
  readonly lastAt?: number;
}

/** All leaderships that granted shares, in the order of their terms. */
function termsOf(hosts: readonly launcher.FleetHost[]): Term[] {
  return hosts.flatMap(termsOfHost).sort((a, b) => a.term - b.term);
}

function termsOfHost({ name, process }: launcher.FleetHost): Term[] {
  const events = process.lines.flatMap(eventOf);
  return events.filter(({ event }) => event === "granting")
    .map(({ term, at }) => {
      const end = events.find((one) =>
        one.event === "ended" && one.term === term
      );
      const last = end === undefined
        ? {}
        : { lastAt: end.at - end.sinceGrantMs };
      return { host: name, term, firstAt: at, ...last };
    });
}

interface GrantEvent {
  readonly event: string;
  readonly term: number;
  readonly at: number;
  readonly sinceGrantMs: number;
}

function eventOf(line: string): GrantEvent[] {
  const found = line.match(
    /^time=(\S+) part=leadership event=(granting|ended) term=(\d+)(?: sinceGrantMs=(\d+))?$/,
  );
  if (found === null) return [];
  const [, time = "", event = "", term, since = "0"] = found;
  return [{
    event,
    term: Number(term),
    at: Date.parse(time),
    sinceGrantMs: Number(since),
  }];
}

describe("shares are granted by one leader at a time", () => {
  let scenario: scenarios.Scenario;
  let traffic: traffics.Traffic;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      withLinks: true,
      engines: [{ tokenMs: 5, concurrency: SLOTS }],
    });
    // More requests than slots: every host asks for more all the time, the
    // leader's own as well.
    traffic = new traffics.Traffic(
      scenario,
      [0, 0, 1, 1, 2, 2, 3, 3],
      scenarios.PATIENT,
    );
  });

  after(async () => {
    await traffic?.stop();
    await scenario?.[Symbol.asyncDispose]();
  });

  for (const fault of FAULTS) {
    it(`with ${fault.title}`, async () => {
      const { fleet } = scenario;
      const former = await scenario.leader();
      const isFormer = (term: Term) => term.host === former.name;
      const count = termsOf(fleet.hosts).length;
      fault.inject(fleet, former);
      try {
        await wait.waitFor(
          "grants of the next leader",
          () => termsOf(fleet.hosts).length > count,
          { timeoutMs: NEXT_TIMEOUT_MS },
        );
      } finally {
        fault.mend(fleet, former);
      }
      await wait.waitFor(
        "the end of the former leadership",
        () => termsOf(fleet.hosts).filter(isFormer).at(-1)?.lastAt,
      );
      const terms = termsOf(fleet.hosts);
      for (const [index, next] of terms.entries()) {
        if (index === 0) continue;
        const { lastAt } = terms[index - 1] as Term;
        expect(lastAt, JSON.stringify(terms)).to.be.below(next.firstAt);
      }
      expect(scenario.violations).to.deep.equal([]);
    });
  }
});
