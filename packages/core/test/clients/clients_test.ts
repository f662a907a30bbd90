import { expect } from "chai";
import { clients } from "../../src/mod.ts";

const IDLE: clients.ConnectionLoad = {
  state: "idle",
  progressAt: 0,
  bodyBytes: 0,
  unreadBytes: 0,
};

describe("limits of clients", () => {
  it("leave three quarters of a small heap, and are as set in a large one", () => {
    const limits = { ...clients.DEFAULT_LIMITS, maxConnections: 10 };
    expect(clients.withinHeap(limits, 64_000_000)).to.deep.equal({
      ...limits,
      maxBodyBytes: 16_000_000,
      maxUnreadBytes: 16_000_000,
    });
    expect(clients.withinHeap(limits, 209_715_200)).to.deep.equal(limits);
  });

  it("leave a host of little memory some for its process", () => {
    const limits = { ...clients.DEFAULT_LIMITS, maxConnections: 10 };
    const { maxBodyBytes, maxUnreadBytes } = clients.withinMemory(limits, 160);
    const buffers = (64 + 48) * 1024 * 1024 * clients.memoryFraction(160);
    expect((maxBodyBytes + maxUnreadBytes + buffers) / 1e6).to.be.below(110);
    expect(clients.withinMemory(limits, 250)).to.deep.equal(limits);
  });

  it("leave descriptors and memory to the rest of a host", () => {
    const capacity = { descriptors: 4_100, memoryMb: 1_000 };
    expect(clients.connectionLimit("callers", capacity)).to.equal(2_925);
    expect(clients.connectionLimit("processes", capacity)).to.equal(1_560);
    expect(clients.connectionLimit("callers", { ...capacity, memoryMb: 250 }))
      .to.equal(2_500);
  });

  it("make room by what is nearest to nothing, longest silent first", () => {
    const busy = { ...IDLE, state: "busy" } as const;
    const idle = { ...IDLE, progressAt: 1 };
    const body = { ...IDLE, state: "body", progressAt: 5 } as const;
    const late = { ...IDLE, state: "nothing", progressAt: 9 } as const;
    const early = { ...late, progressAt: 8 };
    const all = [busy, idle, body, late, early];
    expect(clients.chooseSuperfluous(all)).to.equal(early);
    expect(clients.chooseSuperfluous([busy, idle, body])).to.equal(body);
    expect(clients.chooseSuperfluous([busy, idle])).to.equal(idle);
    expect(clients.chooseSuperfluous([busy])).to.equal(undefined);
  });

  it("drop the body that has stalled longest, otherwise the largest", () => {
    const large = { ...IDLE, bodyBytes: 100, progressAt: 4_000 };
    const small = { ...IDLE, bodyBytes: 1, progressAt: 3_500 };
    const none = { ...IDLE, progressAt: 0 };
    expect(clients.chooseBody([none, small, large], 4_400)).to.equal(large);
    expect(clients.chooseBody([none, small, large], 4_500)).to.equal(small);
    expect(clients.chooseBody([none], 4_500)).to.equal(undefined);
  });

  it("drop the answer of which most is unread", () => {
    const most = { ...IDLE, unreadBytes: 2 };
    const less = { ...IDLE, unreadBytes: 1 };
    expect(clients.chooseReader([IDLE, less, most, less])).to.equal(most);
    expect(clients.chooseReader([IDLE])).to.equal(undefined);
  });
});
