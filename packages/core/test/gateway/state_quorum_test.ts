import { expect } from "chai";
import * as fc from "fast-check";
import * as core from "../../src/mod.ts";

const { judgeState } = core.gateway;
const VOTERS = ["c1", "c2", "c3", "c4", "c5"];

function positions(
  indexes: Readonly<Record<string, number>>,
  voters: readonly string[] = VOTERS,
): core.gateway.LogPosition[] {
  return Object.entries(indexes).map(([member, newestIndex]) => ({
    member,
    voters,
    newestIndex,
  }));
}

describe("the judgement of a state by the logs of control hosts", () => {
  it("confirms a state by a majority, though one has a newer entry", () => {
    const answers = positions({ c1: 9, c2: 7, c3: 5, c4: 7 });
    expect(judgeState(7, answers)).to.equal("current");
  });

  it("does not confirm a state that a majority may have replaced", () => {
    const answers = positions({ c1: 9, c2: 9, c3: 9, c4: 7, c5: 7 });
    expect(judgeState(7, answers)).to.equal("behind");
    expect(judgeState(7, answers.slice(1))).to.equal("behind");
  });

  it("tells nothing by fewer than a majority", () => {
    expect(judgeState(7, positions({ c1: 7, c2: 7 }))).to.equal("unknown");
    expect(judgeState(7, [])).to.equal("unknown");
    expect(judgeState(7, positions({ c1: 0 }, []))).to.equal("unknown");
  });

  it("counts no host that is not a voter", () => {
    const answers = positions({ c1: 7, c2: 7, wiped: 0, removed: 0 });
    expect(judgeState(7, answers)).to.equal("unknown");
  });

  it("asks for a majority of each membership during a change", () => {
    const before = ["c1", "c2", "c3"];
    const after = ["c1", "c2", "c3", "c4"];
    const answers = [
      ...positions({ c1: 7, c2: 7 }, before),
      ...positions({ c4: 7 }, after),
    ];
    expect(judgeState(7, answers)).to.equal("current");
    expect(judgeState(7, answers.slice(1))).to.equal("unknown");
  });

  it("never confirms a state that an acknowledged entry has replaced", () => {
    const scenario = fc.record({
      /** Voters are added or removed one by one, each change committed. */
      changes: fc.array(fc.nat(9), { maxLength: 6 }),
      order: fc.infiniteStream(fc.nat(1_000)),
      answering: fc.array(fc.boolean(), { minLength: 10, maxLength: 10 }),
    });
    fc.assert(fc.property(scenario, ({ answering, changes, order }) => {
      let members = ["m0", "m1", "m2"];
      /** The membership that each host has in its log. */
      const known = new Map<string, readonly string[]>(
        Array.from({ length: 10 }, (_, index) => [`m${index}`, members]),
      );
      const pickMajority = () => {
        const shuffled = [...members]
          .map((member) => ({ member, key: order.next().value as number }))
          .sort((one, other) => one.key - other.key)
          .map(({ member }) => member);
        return shuffled.slice(0, Math.floor(members.length / 2) + 1);
      };
      for (const change of changes) {
        const name = `m${change}`;
        const next = members.includes(name)
          ? members.filter((member) => member !== name)
          : [...members, name];
        if (next.length === 0) continue;
        members = next;
        for (const member of pickMajority()) known.set(member, members);
      }
      const holders = new Set(pickMajority());
      for (const member of holders) known.set(member, members);
      const answers = [...known].filter((_, index) => answering[index])
        .map(([member, voters]) => ({
          member,
          voters,
          newestIndex: holders.has(member) ? 8 : 7,
        }));
      expect(judgeState(7, answers)).not.to.equal("current");
    }));
  });
});
