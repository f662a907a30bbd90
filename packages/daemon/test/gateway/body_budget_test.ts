import { expect } from "chai";
import * as bodyBudget from "../../src/gateway/entry/body_budget.ts";
import { Fixture, MAX_BODY_BYTES, WATCH_RESPONSE } from "./request_handling.ts";

const BODY_BYTES = 1_000;
const REQUESTS = 12;
/** Time for which each request holds its body, in milliseconds. */
const DEADLINE_MS = 400;

describe("bodies of requests", () => {
  // Many large bodies at once took a process beyond its memory.
  it("are held up to a limit over all, beyond which requests are refused", async () => {
    await using fixture = new Fixture(DEADLINE_MS);
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    fixture.servesAtOnce = false;
    const statuses = await fixture.postAll(REQUESTS, BODY_BYTES);
    const held = Math.floor(MAX_BODY_BYTES / BODY_BYTES);
    // Bodies arrive side by side, so that some may be refused beyond those.
    expect(fixture.dispatched.length).to.be.within(1, held);
    expect(statuses.filter((status) => status === 503))
      .to.have.length(REQUESTS - fixture.dispatched.length);
    expect(fixture.bodyBudget.bytes).to.equal(0);
  });

  it("are released when their requests have ended", async () => {
    await using fixture = new Fixture(DEADLINE_MS);
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    expect(await fixture.postAll(1, BODY_BYTES)).to.deep.equal([200]);
    expect(fixture.bodyBudget.bytes).to.equal(0);
  });
});

describe("a body budget", () => {
  it("takes back what a body that is refused has used", () => {
    const budget = new bodyBudget.BodyBudget(100);
    using first = budget.open();
    const second = budget.open();
    expect(first.tryAdd(60)).to.equal(true);
    expect(second.tryAdd(30)).to.equal(true);
    expect(second.tryAdd(30)).to.equal(false);
    second[Symbol.dispose]();
    second[Symbol.dispose]();
    expect(budget.bytes).to.equal(60);
    expect(first.tryAdd(40)).to.equal(true);
  });
});
