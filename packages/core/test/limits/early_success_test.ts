import { limits } from "@ebonypath/core";
import { expect } from "chai";

const SERVER = "engine-1/a";
const DEADLINE = 60_000;

/** A host with one running request on one server. */
function withRunningRequest() {
  const allocator = new limits.ShareAllocator();
  allocator.takeLeadership({ term: 1, isFirst: true }, 0);
  allocator.setSlots(SERVER, 1, 0);
  const shares = new limits.HostShares("host-1");
  shares.setWaitingSlots(SERVER, { count: 1, since: 0 });
  const report = shares.report(0, true);
  if (report === undefined) throw new Error("no report");
  shares.accept(allocator.exchange(report, 0), 0);
  const acquired = shares.acquireSlot(SERVER, DEADLINE, 1);
  if (acquired.kind !== "acquired") throw new Error("no slot");
  const outcomes = () => shares.report(2_000, true)?.slots[0]?.outcomes;
  return { shares, slot: acquired.slot, outcomes };
}

describe("requests marked as succeeded before their end", () => {
  const cases = [
    { end: "succeeded", succeeded: 1, failed: 0 },
    { end: "failed", succeeded: 1, failed: 1 },
    { end: "neutral", succeeded: 1, failed: 0 },
  ] as const;
  for (const { end, succeeded, failed } of cases) {
    it(`count as a success once when they end as ${end}`, () => {
      const { shares, slot, outcomes } = withRunningRequest();
      shares.markSucceeded(slot);
      shares.markSucceeded(slot);
      shares.releaseSlot(slot, end);
      shares.releaseSlot(slot, end);
      expect(outcomes()).to.include({ succeeded, failed });
    });
  }

  it("count as a success while they run", () => {
    const { shares, slot, outcomes } = withRunningRequest();
    shares.markSucceeded(slot);
    expect(outcomes()).to.include({ succeeded: 1 });
  });

  it("do not count if marked after their end", () => {
    const { shares, slot, outcomes } = withRunningRequest();
    shares.releaseSlot(slot, "neutral");
    shares.markSucceeded(slot);
    expect(outcomes()).to.include({ succeeded: 0 });
  });
});
