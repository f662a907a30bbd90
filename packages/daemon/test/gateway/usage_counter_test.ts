import * as stream from "node:stream";
import type * as http from "node:http";
import { expect } from "chai";
import * as usageCounter from "../../src/gateway/entry/usage_counter.ts";
import { createContext } from "./dispatching.ts";

const TERM = 1;
const CONTEXT = {
  ...createContext("streaming", false),
  workspace: { name: "shop", keys: [] },
};

/** Requests that a counter tells the leader of. */
function reported(counter: usageCounter.UsageCounter): number {
  return (counter.collect(TERM).begun ?? [])
    .reduce((sum, { count }) => sum + count, 0);
}

describe("gateway usage counter", () => {
  it("counts a stream with its first byte", async () => {
    const counter = new usageCounter.UsageCounter(5_000);
    const message = new stream.PassThrough();
    const response = message as unknown as http.IncomingMessage;
    counter.recordBegun(CONTEXT, response);
    expect(reported(counter)).to.equal(0);
    message.write("data: a\n\n");
    message.end("data: b\n\n");
    await new Promise((resolve) => message.once("end", resolve));
    expect(reported(counter)).to.equal(1);
  });

  it("counts another answer at once", () => {
    const counter = new usageCounter.UsageCounter(5_000);
    counter.recordBegun(CONTEXT);
    expect(reported(counter)).to.equal(1);
  });

  it("tells nothing if no usage is reported", () => {
    const counter = new usageCounter.UsageCounter(undefined);
    counter.recordBegun(CONTEXT);
    expect(counter.collect(TERM)).to.deep.equal({});
  });
});
