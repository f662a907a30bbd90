import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as fleet from "../../src/fleet/mod.ts";
import * as memberChanges from "../../src/daemon/member_changes.ts";
import * as memberGroup from "../../src/daemon/member_group.ts";
import * as fakes from "./fake_group.ts";

const author = { operator: "ann", changeId: "c1" };
const ADD = { kind: "add", ...author, address: "c:1" } as const;
const REMOVE = { kind: "remove", ...author, id: "b" } as const;
const REPLACE = {
  kind: "replace",
  ...author,
  id: "b",
  address: "c:1",
} as const;

describe("changes of members", () => {
  let fake: fakes.FakeGroup;
  let changes: memberChanges.MemberChanges;
  let isReachable: boolean;

  beforeEach(() => {
    fake = new fakes.FakeGroup();
    changes = start();
    isReachable = true;
  });

  /** The changes of a leader that has just taken over. */
  function start(): memberChanges.MemberChanges {
    const { replicated } = fake;
    return new memberChanges.MemberChanges({
      group: new memberGroup.MemberGroup(fake.driver, async (address) => {
        await Promise.resolve();
        if (!isReachable) throw new Error("not reachable");
        return fakes.identityAt(address);
      }),
      node: {
        earlierResult: (command) => fake.earlierResult(command),
        propose: (command) => replicated.propose(fake, command, 0),
      },
      stamp: (command) => replicated.stamp(command, 0),
    });
  }

  for (const change of [ADD, REMOVE, REPLACE]) {
    it(`makes one ${change.kind} of a change that comes again`, async () => {
      const first = await changes.change(change);
      expect(first.kind).to.equal("done");
      const { length } = fake.changes;
      expect(await changes.change(change)).to.deep.equal(first);
      expect(await start().change(change)).to.deep.equal(first);
      expect(fake.changes).to.have.length(length);
      const trail = fake.replicated.state.auditEntries(0, 10);
      expect(trail.map(({ index }) => ({ kind: "done", index })))
        .to.deep.equal([first]);
    });

    it(`goes on with a ${change.kind} whose answer was lost`, async () => {
      fake.lostAnswer = new fleet.OutcomeUnknown("step", "peer", "lost");
      await changes.change(change).then(
        () => expect.fail("the answer was not lost"),
        (error) => expect(error).to.be.instanceOf(fleet.OutcomeUnknown),
      );
      expect((await start().change(change)).kind).to.equal("done");
      const kinds = fake.changes.map(({ kind }) => kind);
      expect(new Set(kinds).size).to.equal(kinds.length);
    });
  }

  it("joins a resend to the change under way", async () => {
    const results = await Promise.all([1, 2].map(() => changes.change(ADD)));
    expect(results[1]).to.deep.equal(results[0]);
    expect(fake.changes.map(({ kind }) => kind))
      .to.deep.equal(["addLearner", "promote"]);
  });

  it("refuses another change meanwhile, and takes it afterwards", async () => {
    const other = { ...REMOVE, changeId: "c2" };
    const [first, second] = await Promise.all([
      changes.change(ADD),
      changes.change(other),
    ]);
    expect([first?.kind, second?.kind]).to.deep.equal(["done", "refused"]);
    expect((await changes.change(other)).kind).to.equal("done");
  });

  it("repeats a final refusal and reconsiders a passing one", async () => {
    const absent = { ...REMOVE, id: "c" };
    expect((await changes.change(absent)).kind).to.equal("not-found");
    isReachable = false;
    const added = { ...ADD, changeId: "c2" };
    expect((await changes.change(added)).kind).to.equal("refused");
    isReachable = true;
    expect((await changes.change(added)).kind).to.equal("done");
    expect((await changes.change(absent)).kind).to.equal("not-found");
  });

  it("refuses a change id that belongs to another change", async () => {
    await changes.change(ADD);
    const { length } = fake.changes;
    expect((await changes.change(REMOVE)).kind).to.equal("refused");
    expect(fake.changes).to.have.length(length);
  });

  it("tells a success only when the new voter holds the log", async () => {
    fake.matchIndex = 0;
    let isDone = false;
    const result = changes.change(REPLACE).then(() => isDone = true);
    await wait.waitFor("the new voter", () => fake.changes.length === 2);
    const before = fake.membership.voters.map(({ id }) => id);
    expect(before).to.deep.equal(["a", "b", "c"]);
    expect(isDone).to.equal(false);
    fake.matchIndex = fake.commitIndex;
    await result;
    expect(fake.membership.voters.map(({ id }) => id)).to.deep.equal([
      "a",
      "c",
    ]);
  });
});
