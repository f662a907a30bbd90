import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as grantDriver from "../../src/control/grant_driver.ts";

const SERVER = "engine-1/a";
/** Time without use after which a pool is closed for certain, in ms. */
const UNUSED_MS = 10 * core.limits.IDLE_POOL_MS;

interface Proposal {
  readonly command: protocol.state.Command;
  commit(): void;
  fail(): void;
}

describe("grants of pools that the log does not name", () => {
  let shares: core.limits.ShareAllocator;
  let driver: grantDriver.GrantDriver;
  let proposals: Proposal[];
  let exchange: number;

  beforeEach(() => {
    proposals = [];
    exchange = 0;
    shares = new core.limits.ShareAllocator();
    const now = performance.now();
    shares.takeLeadership({
      term: 1,
      grantablePools: {
        buckets: new Set(),
        servers: new Set(),
        isComplete: true,
      },
    }, now);
    shares.setSlots(SERVER, 2, now);
    driver = new grantDriver.GrantDriver({
      shares,
      propose: (command) =>
        new Promise((resolve, reject) => {
          const index = proposals.length + 1;
          proposals.push({
            command,
            commit: () => resolve({ kind: "done", index }),
            fail: () => reject(new Error("not committed")),
          });
        }),
    });
  });

  /** A report of one host for which requests wait. */
  function report(waiting = 1): protocol.limits.ShareReport {
    exchange += 1;
    const outcomes = { succeeded: 0, refused: 0, failed: 0, slow: 0 };
    return {
      holder: "entry-1/a",
      exchange,
      buckets: [],
      slots: [{
        server: SERVER,
        slots: 0,
        running: 0,
        horizonMs: 0,
        peak: 0,
        waiting,
        waitingMs: 0,
        outcomes,
      }],
    };
  }

  function slotsFor(asked: protocol.limits.ShareReport): number | undefined {
    return shares.exchange(asked, performance.now()).slots[0]?.slots;
  }

  it("wait for the commit, and there is one for all who ask", async () => {
    const first = report();
    const second = report();
    const opened = Promise.all(
      [first, second].map((one) => driver.openFor(one)),
    );
    expect(proposals.map(({ command }) => command)).to.deep.equal([{
      kind: "set-grantable",
      buckets: [],
      servers: [SERVER],
      isGrantable: true,
    }]);
    proposals[0]?.commit();
    await opened;
    expect(slotsFor(second)).to.equal(1);
    await driver.openFor(report());
    expect(proposals.length).to.equal(1);
  });

  it("are not made while the commit takes long", async () => {
    const asked = report();
    await driver.openFor(asked);
    expect(slotsFor(asked)).to.equal(0);
    proposals[0]?.commit();
    await wait.waitFor("a grant", () => slotsFor(report()) === 1);
  });

  it("are proposed again after a commit that failed", async () => {
    const asked = report();
    const opening = driver.openFor(asked);
    proposals[0]?.fail();
    await opening;
    expect(slotsFor(asked)).to.equal(0);
    const again = report();
    const opened = driver.openFor(again);
    proposals[1]?.commit();
    await opened;
    expect(slotsFor(again)).to.equal(1);
  });

  /** Opens the pool, and tells the log after a while that it is closed. */
  async function close(): Promise<void> {
    const opened = driver.openFor(report());
    proposals[0]?.commit();
    await opened;
    driver.run(performance.now() + UNUSED_MS);
    proposals[1]?.fail();
    await timers.setImmediate();
  }

  it("are told again to be closed after a commit that failed", async () => {
    await close();
    driver.run(performance.now() + 2 * UNUSED_MS);
    expect(proposals[2]?.command).to.deep.equal(proposals[1]?.command);
  });

  it("are not told to be closed while the pool is opened again", async () => {
    await close();
    const opened = driver.openFor(report());
    driver.run(performance.now() + 2 * UNUSED_MS);
    expect(proposals.length).to.equal(3);
    proposals[2]?.commit();
    await opened;
    driver.run(performance.now());
    expect(proposals.length).to.equal(3);
  });

  it("end before the log is told that the pool is closed", async () => {
    const opened = driver.openFor(report());
    proposals[0]?.commit();
    await opened;
    driver.run(performance.now() + UNUSED_MS);
    expect(proposals[1]?.command).to.deep.include({
      servers: [SERVER],
      isGrantable: false,
    });
    expect(slotsFor(report())).to.equal(0);
  });
});
