import * as timers from "node:timers/promises";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as controlNode from "../../src/control/control_node.ts";
import type * as leaderships from "../../src/control/leadership.ts";
import * as replicatedState from "../../src/control/replicated_state.ts";
import * as metrics from "../../src/metrics/mod.ts";
import * as heldLog from "./held_log.ts";

/** Several looks at who leads, in milliseconds. */
const LOOKS_MS = 100;
/** Longer than the state of a leadership is kept, in milliseconds. */
const LONG_LAPSE_MS = 800;

describe("a leader whose lease lapses", function () {
  this.timeout(10_000);
  let log: heldLog.HeldLog;
  let node: controlNode.ControlNode;
  let first: leaderships.Leadership;

  beforeEach(async () => {
    const replicated = new replicatedState.ReplicatedState();
    replicated.apply([heldLog.noop(1)]);
    log = new heldLog.HeldLog(1);
    node = new controlNode.ControlNode({
      address: log.leaderAddress,
      log,
      replicated,
      metrics: new metrics.Metrics(),
    });
    first = await wait.waitFor("the leadership", () => node.leadership);
  });

  afterEach(() => node[Symbol.dispose]());

  async function lapse(ms: number): Promise<void> {
    log.isLeased = false;
    await timers.setTimeout(ms);
    expect(node.leadership).to.equal(undefined);
    log.isLeased = true;
  }

  it("keeps its state if it is back soon in the same term", async () => {
    await lapse(LOOKS_MS);
    await timers.setTimeout(LOOKS_MS);
    expect(node.leadership).to.equal(first);
  });

  it("begins anew after a long lapse", async () => {
    await lapse(LONG_LAPSE_MS);
    const next = await wait.waitFor("a leadership", () => node.leadership);
    expect(next).to.not.equal(first);
  });

  it("gives its state up with its term", async () => {
    log.isLeased = false;
    log.term += 1;
    await timers.setTimeout(LOOKS_MS);
    log.isLeased = true;
    log.term -= 1;
    expect(node.leadership).to.not.equal(first);
  });
});
