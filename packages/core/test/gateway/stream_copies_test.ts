import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import fastCheck from "fast-check";
import { StreamOrigins } from "../../src/gateway/mod.ts";

const SERVICE = "advice";
const STREAM_MS = 60_000;
const PAGE = 2_000;

function stream(id: string, softwareVersion: string | null = "v1") {
  return { id, service: SERVICE, softwareVersion, remainingMs: STREAM_MS };
}

/** Copies of what one leader after the other records, with their positions. */
class Copies {
  readonly records = Array.from({ length: 3 }, () => new StreamOrigins());
  /** Leader that each copy has followed last, and the revision that it has. */
  readonly positions = this.records.map(() => ({ term: 0, revision: 0 }));
  leader = 0;
  term = 1;

  /** Lets a copy ask the leader until it has been told of all streams. */
  follow(at: number, now: number): void {
    const position = this.positions[at]!;
    const { term } = this;
    const origins = this.records[this.leader]!;
    while (true) {
      const from = position.term === term ? position.revision : 0;
      const changes = origins.changesSince(from, PAGE, now);
      this.records[at]!.apply(changes, now);
      const isCurrent = position.term === term &&
        position.revision === changes.revision;
      position.term = term;
      position.revision = changes.revision;
      if (isCurrent) return;
    }
  }

  lead(at: number): void {
    this.term += 1;
    this.leader = at;
  }
}

describe("copies of where streams began", () => {
  // The only record was gone with the leader.
  it("have all that they were told of, whoever leads next", () => {
    const steps = fastCheck.array(
      fastCheck.oneof(
        fastCheck.record({
          kind: fastCheck.constant("record" as const),
          ids: fastCheck.array(fastCheck.nat(60), { maxLength: 8 }),
          version: fastCheck.constantFrom("v1", "v2"),
        }),
        fastCheck.record({
          kind: fastCheck.constant("follow" as const),
          at: fastCheck.nat(2),
        }),
        fastCheck.record({
          kind: fastCheck.constant("lead" as const),
          at: fastCheck.nat(2),
        }),
      ),
      { minLength: 10, maxLength: 80 },
    );
    fastCheck.assert(fastCheck.property(steps, (plays) => {
      const copies = new Copies();
      for (const step of plays) {
        const leading = copies.records[copies.leader]!;
        if (step.kind === "record") {
          leading.record(
            step.ids.map((id) => stream(`r${id}`, step.version)),
            0,
          );
        } else if (step.kind === "lead" && step.at !== copies.leader) {
          copies.lead(step.at);
        } else if (step.kind === "follow" && step.at !== copies.leader) {
          copies.follow(step.at, 0);
          const copy = copies.records[step.at]!;
          for (let id = 0; id <= 60; id += 1) {
            const known = leading.find(`r${id}`, 0);
            if (known === undefined) continue;
            const copied = copy.find(`r${id}`, 0);
            // A copy may know of a contradiction that the leader has not heard.
            const isSafe = copied?.softwareVersion === null ||
              copied?.softwareVersion === known.softwareVersion;
            expect(isSafe, `r${id}`).to.equal(true);
          }
        }
      }
    }));
  });

  it("are told of many streams a page at a time, and of each one once", () => {
    const leader = new StreamOrigins();
    const ids = Array.from({ length: 9_000 }, (_, index) => `r${index}`);
    leader.record(ids.slice(0, 4_500).map((id) => stream(id)), 0);
    leader.record(ids.slice(4_500).map((id) => stream(id)), 0);
    const told: string[] = [];
    let revision = 0;
    while (revision < leader.revision) {
      const changes: {
        readonly revision: number;
        readonly groups: readonly gateway.StreamGroup[];
      } = leader.changesSince(revision, PAGE, 0);
      const page = changes.groups.flatMap((group) => group.ids);
      expect(page.length).to.be.at.most(PAGE + 1_000);
      told.push(...page);
      revision = changes.revision;
    }
    expect(told).to.have.length(ids.length);
    expect(new Set(told).size).to.equal(ids.length);
  });

  it("are not told again of what a host reports once more", () => {
    const leader = new StreamOrigins();
    leader.record([stream("r1")], 0);
    const { revision } = leader;
    leader.record([{ ...stream("r1"), remainingMs: STREAM_MS - 500 }], 500);
    expect(leader.changesSince(revision, PAGE, 500).groups).to.deep.equal([]);
    leader.record([stream("r1", "v2")], 500);
    expect(leader.changesSince(revision, PAGE, 500).groups).to.deep.equal([{
      service: SERVICE,
      softwareVersion: null,
      ids: ["r1"],
      remainingMs: [STREAM_MS],
    }]);
  });

  it("keep the order of changes small", () => {
    const leader = new StreamOrigins();
    for (let round = 0; round < 300; round += 1) {
      const streams = Array.from(
        { length: 100 },
        (_, index) => ({
          ...stream(`r${round}-${index}`),
          remainingMs: 10,
        }),
      );
      leader.record(streams, round * 100);
    }
    const { groups } = leader.changesSince(0, PAGE, 300 * 100 - 95);
    expect(groups.flatMap(({ ids }) => ids)).to.have.length(100);
    expect(leader.size).to.equal(100);
  });
});
