import { expect } from "chai";
import {
  DutyState,
  MAX_SERVER_ORDERS,
  MAX_UNDELIVERED_WINDOWS,
} from "../../src/duties/mod.ts";

const FIRST = [{ workspace: "shop", count: 3 }];
const SECOND = [{ workspace: "shop", count: 4 }];
const ORDER = { service: "advice", domain: "a", count: 6, isAccepted: false };

describe("duty state", () => {
  it("gives each holder a higher fence than the one before", () => {
    const state = new DutyState();
    const fences = ["a", "b", "a"].map((holder) => {
      state.hold("usage", holder);
      return state.assignmentOf("usage")?.fence;
    });
    expect(fences).to.deep.equal([1, 2, 3]);
  });

  it("keeps the fence of a holder that claims its duty again", () => {
    const state = new DutyState();
    state.hold("usage", "a");
    state.hold("usage", "a");
    expect(state.assignmentOf("usage")?.fence).to.equal(1);
  });

  it("keeps the first content of a window", () => {
    const state = new DutyState();
    state.closeWindow({ window: 7, counts: FIRST });
    state.closeWindow({ window: 7, counts: SECOND });
    expect(state.undelivered).to.deep.equal([{ window: 7, counts: FIRST }]);
  });

  it("never reports a delivered window again", () => {
    const state = new DutyState();
    state.closeWindow({ window: 7, counts: FIRST });
    state.recordDelivery(7);
    state.closeWindow({ window: 7, counts: SECOND });
    expect(state.undelivered).to.deep.equal([]);
  });

  it("keeps its content in a snapshot", () => {
    const state = new DutyState();
    state.hold("usage", "a");
    state.closeWindow({ window: 7, counts: FIRST });
    state.orderServers(ORDER);
    const restored = new DutyState(
      JSON.parse(JSON.stringify(state.toSnapshot())),
    );
    expect(restored.toSnapshot()).to.deep.equal(state.toSnapshot());
  });

  it("keeps an order that replaced the accepted one", () => {
    const state = new DutyState();
    state.orderServers(ORDER);
    state.orderServers({ ...ORDER, count: 7 });
    state.orderServers({ ...ORDER, isAccepted: true });
    expect(state.serverOrders).to.deep.equal([{ ...ORDER, count: 7 }]);
  });

  it("bounds the orders, whatever domains heartbeats name", () => {
    const state = new DutyState();
    for (let index = 0; index <= MAX_SERVER_ORDERS; index += 1) {
      state.orderServers({ ...ORDER, domain: `d${index}` });
    }
    expect(state.serverOrders).to.have.length(MAX_SERVER_ORDERS);
  });

  it("drops the earliest report when too many wait", () => {
    const state = new DutyState();
    for (let window = 0; window <= MAX_UNDELIVERED_WINDOWS; window += 1) {
      state.closeWindow({ window, counts: [] });
    }
    expect(state.undelivered[0]?.window).to.equal(1);
    expect(state.droppedWindows).to.equal(1);
  });
});
