import { limits } from "@ebonypath/core";
import { expect } from "chai";

const SERVER = "engine-1/a";
const DEADLINE = 60_000;

/** A host with one running request before one server. */
function running() {
  const leader = new limits.ShareAllocator();
  leader.takeLeadership({ term: 1, isFirst: true }, 0);
  leader.setSlots(SERVER, 1, 0);
  const holder = new limits.HostShares("host-1");
  holder.setWaitingSlots(SERVER, { count: 1, since: 0 });
  const report = holder.report(0, true);
  if (report === undefined) throw new Error("no report");
  holder.accept(leader.exchange(report, 0), 0);
  const taken = holder.acquireSlot(SERVER, DEADLINE, 1);
  if (taken.kind !== "acquired") throw new Error("no slot");
  const outcomes = () => holder.report(2_000, true)?.slots[0]?.outcomes;
  return { holder, slot: taken.slot, outcomes };
}

describe("requests that their server bears", () => {
  const cases = [
    { end: "succeeded", succeeded: 1, failed: 0 },
    { end: "failed", succeeded: 1, failed: 1 },
    { end: "neutral", succeeded: 1, failed: 0 },
  ] as const;
  for (const { end, succeeded, failed } of cases) {
    it(`count once before their end, which is ${end}`, () => {
      const { holder, slot, outcomes } = running();
      holder.markSucceeded(slot);
      holder.markSucceeded(slot);
      holder.releaseSlot(slot, end);
      holder.releaseSlot(slot, end);
      expect(outcomes()).to.include({ succeeded, failed });
    });
  }

  it("count while they run", () => {
    const { holder, slot, outcomes } = running();
    holder.markSucceeded(slot);
    expect(outcomes()).to.include({ succeeded: 1 });
  });

  it("do not count after their end", () => {
    const { holder, slot, outcomes } = running();
    holder.releaseSlot(slot, "neutral");
    holder.markSucceeded(slot);
    expect(outcomes()).to.include({ succeeded: 0 });
  });
});
