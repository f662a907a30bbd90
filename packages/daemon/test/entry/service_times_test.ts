import { expect } from "chai";
import * as serviceTimes from "../../src/entry/service_times.ts";

describe("service times", () => {
  it("keeps nothing free for a target that is not known", () => {
    const times = new serviceTimes.ServiceTimes();
    expect(times.dispatchBy("orders", 5_000, 0)).to.equal(5_000);
  });

  it("keeps twice the mean time free", () => {
    const times = new serviceTimes.ServiceTimes();
    times.observe("orders", 50);
    times.observe("orders", 150);
    expect(times.dispatchBy("orders", 5_000, 0)).to.equal(4_880);
    expect(times.dispatchBy("stock", 5_000, 0)).to.equal(5_000);
  });

  it("leaves half of the time for waiting, however slow a server is", () => {
    const times = new serviceTimes.ServiceTimes();
    times.observe("orders", 60_000);
    expect(times.dispatchBy("orders", 5_000, 1_000)).to.equal(3_000);
  });
});
