import { expect } from "chai";
import * as fc from "fast-check";
import { ServerAvailability } from "../../src/gateway/mod.ts";

const SERVER = { id: "s1", born: 5 };
/** Time over which hosts spread their return to a closed server, in ms. */
const SPREAD_MS = 250;

describe("the availability of servers at a host", () => {
  it("is unknown before, and for other servers", () => {
    const availability = new ServerAvailability();
    availability.recordLeaving(SERVER);
    expect(availability.of({ id: "s2", born: 5 }, 0).kind)
      .to.equal("available");
  });

  it("ends for good when a server leaves, until it starts anew", () => {
    const availability = new ServerAvailability();
    availability.recordLeaving(SERVER);
    availability.recordReachable(SERVER);
    availability.recordClosed(SERVER, 0, 0, 0);
    const kinds = [4, 5, 6].map((born) =>
      availability.of({ id: "s1", born }, 1e9).kind
    );
    expect(kinds).to.deep.equal(["leaving", "leaving", "available"]);
  });

  it("keeps the longest time that a server wants nothing", () => {
    const availability = new ServerAvailability();
    availability.recordClosed(SERVER, 2_000, 0, 0);
    availability.recordClosed(SERVER, 500, 100, 1);
    expect(availability.of(SERVER, 1_999))
      .to.deep.equal({ kind: "closed", remainingMs: 1 });
    expect(availability.of(SERVER, 2_000).kind).to.equal("available");
  });

  it("returns at different times at different hosts, and never earlier", () => {
    fc.assert(fc.property(
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.integer({ min: 0, max: 60_000 }),
      (random, ms) => {
        const availability = new ServerAvailability();
        availability.recordClosed(SERVER, ms, 0, random);
        const before = availability.of(SERVER, ms - 1).kind;
        const after = availability.of(SERVER, ms + SPREAD_MS).kind;
        expect(ms === 0 ? "closed" : before).to.equal("closed");
        expect(after).to.equal("available");
      },
    ));
  });

  it("asks for a probe of an unreachable server at growing intervals", () => {
    const availability = new ServerAvailability();
    const delays: number[] = [];
    let now = 0;
    for (let failure = 0; failure < 8; failure += 1) {
      const failedAt = now;
      availability.recordUnreachable(SERVER, now);
      const isDue = () => {
        const one = availability.of(SERVER, now);
        return one.kind === "unreachable" && one.isProbeDue;
      };
      while (!isDue()) now += 50;
      delays.push(now - failedAt);
    }
    expect(delays)
      .to.deep.equal([100, 200, 400, 800, 1_600, 3_200, 4_000, 4_000]);
    availability.recordReachable(SERVER);
    expect(availability.of(SERVER, now).kind).to.equal("available");
  });

  it("does not outlast a restart of an unreachable server", () => {
    const availability = new ServerAvailability();
    availability.recordUnreachable(SERVER, 0);
    expect(availability.of({ id: "s1", born: 6 }, 0).kind)
      .to.equal("available");
  });

  it("is kept for a bounded number of servers", () => {
    const availability = new ServerAvailability();
    for (let index = 0; index <= 20_000; index += 1) {
      availability.recordLeaving({ id: `s${index}`, born: 1 });
    }
    const kindOf = (id: string) => availability.of({ id, born: 1 }, 0).kind;
    expect([kindOf("s0"), kindOf("s1"), kindOf("s20000")])
      .to.deep.equal(["available", "leaving", "leaving"]);
  });
});
