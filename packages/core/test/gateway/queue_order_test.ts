import { expect } from "chai";
import { orderWaiting, type UnservedRequest } from "../../src/gateway/mod.ts";

type Queued = UnservedRequest & { readonly name: string };

function queued(
  name: string,
  overrides: Partial<UnservedRequest> = {},
): Queued {
  const usual = {
    priority: 1,
    arrivedAt: 0,
    objectiveMs: 500,
    queueDeadline: 10_000,
    expectedMs: 80,
  };
  return { name, ...usual, ...overrides };
}

function order(requests: readonly Queued[], now: number): string {
  return orderWaiting(requests, (one) => one, now)
    .map(({ name }) => name).join(" ");
}

const PATIENT = { priority: 3, objectiveMs: 8_000, queueDeadline: 30_000 };

describe("order of requests that wait for servers of models", () => {
  it("lets urgent requests go before patient ones that can wait", () => {
    const requests = [queued("patient", PATIENT), queued("urgent")];
    expect(order(requests, 10)).to.equal("urgent patient");
  });

  it("lets a patient request go at its latest start, if the urgent can wait", () => {
    const patient = queued("patient", { ...PATIENT, arrivedAt: -7_850 });
    expect(order([queued("urgent"), patient], 10)).to.equal("patient urgent");
  });

  it("lets urgent requests go first where only one can be met", () => {
    const patient = queued("patient", { ...PATIENT, arrivedAt: -7_850 });
    const urgent = queued("urgent", { arrivedAt: -360 });
    expect(order([patient, urgent], 10)).to.equal("urgent patient");
  });

  it("lets callers that come back go before new ones of their priority", () => {
    const back = queued("back", {
      arrivedAt: 5,
      expectedMs: 150,
      isReturning: true,
    });
    const urgent = queued("urgent", { priority: 0, arrivedAt: 6 });
    expect(order([queued("new"), back, urgent], 10))
      .to.equal("urgent back new");
  });

  it("lets pressed callers go by their slack, whether new or not", () => {
    const pressed = queued("pressed", { arrivedAt: -400 });
    const back = queued("back", { arrivedAt: -380, isReturning: true });
    expect(order([back, pressed], 0)).to.equal("pressed back");
  });

  it("lets a new caller that has waited for half of its time go first", () => {
    const aged = queued("aged", { arrivedAt: -6_000 });
    const back = queued("back", { isReturning: true });
    expect(order([back, aged], 2_100)).to.equal("aged back");
  });

  it("lets short requests go first while the long one can wait", () => {
    const long = queued("long", { expectedMs: 150 });
    const short = queued("short", { arrivedAt: 5 });
    expect(order([long, short], 10)).to.equal("short long");
    expect(order([long, short], 210)).to.equal("long short");
  });

  it("lets requests that can be met go before late ones", () => {
    const late = queued("late", { arrivedAt: -600 });
    expect(order([late, queued("new")], 10)).to.equal("new late");
  });

  it("serves a long request after half of its time at last, however many come", () => {
    const long = queued("long", { expectedMs: 450 });
    const orders: string[] = [];
    for (let now = 100; now <= 5_000; now += 100) {
      const later = queued("short", { arrivedAt: now });
      orders.push(order([later, long], now));
    }
    expect(orders.slice(0, -1)).to.include("short long");
    expect(orders.at(-1)).to.equal("long short");
  });
});
