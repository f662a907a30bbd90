import { expect } from "chai";
import {
  decideStart,
  RunTimes,
  type StartingRequest,
} from "../../src/queue/drain_schedule.ts";

const DRAIN = { endsAt: 7_300, isListening: true };

function request(change: Partial<StartingRequest> = {}): StartingRequest {
  return { deadline: 20_000, isStream: false, longestRunMs: 800, ...change };
}

describe("the start of a request at a host that stops", () => {
  it("keeps its own deadline if the host does not stop", () => {
    const long = request({ longestRunMs: undefined });
    expect(decideStart(long, undefined, 0))
      .to.deep.equal({ kind: "start", serverDeadline: 20_000 });
  });

  it("keeps its own deadline if that comes before the end of the host", () => {
    const short = request({ deadline: 7_300, longestRunMs: undefined });
    expect(decideStart(short, DRAIN, 7_299))
      .to.deep.equal({ kind: "start", serverDeadline: 7_300 });
  });

  it("is limited so that the server's answer arrives before the end", () => {
    expect(decideStart(request(), DRAIN, 6_200))
      .to.deep.equal({ kind: "start", serverDeadline: 7_200 });
  });

  it("is refused if recent runs of its route would not have ended", () => {
    expect(decideStart(request(), DRAIN, 6_201).kind).to.equal("refuse");
  });

  it("is refused if it is not known how long its route takes", () => {
    const unknown = request({ longestRunMs: undefined });
    expect(decideStart(unknown, DRAIN, 0).kind).to.equal("refuse");
  });

  it("is refused for a stream that comes when no caller can connect", () => {
    const stream = request({ isStream: true });
    expect(decideStart(stream, DRAIN, 3_000).kind).to.equal("start");
    const closed = { ...DRAIN, isListening: false };
    expect(decideStart(stream, closed, 3_000).kind).to.equal("refuse");
    expect(decideStart(request(), closed, 3_000).kind).to.equal("start");
    const short = request({ isStream: true, deadline: 7_000 });
    expect(decideStart(short, closed, 3_000).kind).to.equal("start");
  });
});

describe("recent run times", () => {
  it("tell the longest run of a route until 64 more have ended", () => {
    const times = new RunTimes();
    expect(times.longest("r")).to.equal(undefined);
    times.record("r", 900);
    times.record("other", 5_000);
    for (let run = 0; run < 63; run += 1) times.record("r", 10);
    expect(times.longest("r")).to.equal(900);
    times.record("r", 20);
    expect(times.longest("r")).to.equal(20);
  });

  it("are forgotten with their route", () => {
    const times = new RunTimes();
    times.record("r", 900);
    times.record("removed", 900);
    times.retain(new Set(["r"]));
    expect(times.longest("r")).to.equal(900);
    expect(times.longest("removed")).to.equal(undefined);
  });
});
