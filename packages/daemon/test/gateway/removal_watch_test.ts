import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as removalWatch from "../../src/gateway/entry/removal_watch.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import { wait } from "@ebonypath/testing";

const SERVER = { id: "s1", born: 7 } as gateway.ServerRecord;

function createWatch() {
  const removals = new core.gateway.RemovalNotices();
  const watch = new removalWatch.RemovalWatch({
    view: { removals },
    drain: { longestRunMs: () => 1_000 },
    metrics: new GatewayMetrics(),
  });
  const context = {
    metadata: { id: "r1" },
    route: { name: "advice" },
    isRetryable: true,
    signal: new AbortController().signal,
  } as unknown as types.RequestContext;
  return { removals, watch, context };
}

describe("a request at a server that is removed", () => {
  // It hung until the caller's deadline if no connection was reset.
  it("is broken off soon after its server is gone, not before", async () => {
    const { removals, watch, context } = createWatch();
    using run = watch.watch(SERVER, context);
    removals.record(SERVER, 100, performance.now());
    watch.update();
    expect(run.signal.aborted).to.equal(false);
    await wait.waitFor("the server to be gone", () => run.signal.aborted);
    expect(performance.now()).to.be.above(
      removals.endsAt(SERVER) ?? Infinity,
    );
  });

  it("is to go on elsewhere if it can't be finished", () => {
    const { removals, watch, context } = createWatch();
    using _run = watch.watch(SERVER, context);
    expect([...watch.moves()]).to.deep.equal([]);
    const now = performance.now();
    removals.record(SERVER, 5_000, now);
    expect([...watch.moves()]).to.deep.equal([]);
    removals.record(SERVER, 600, now);
    expect([...watch.moves()]).to.deep.equal([{ context, dueAt: now + 600 }]);
  });

  it("is not watched any more once it has ended", () => {
    const { removals, watch, context } = createWatch();
    const run = watch.watch(SERVER, context);
    run[Symbol.dispose]();
    removals.record(SERVER, 0, performance.now());
    expect([...watch.moves()]).to.deep.equal([]);
  });
});
