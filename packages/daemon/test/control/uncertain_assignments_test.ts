import type * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as timers from "node:timers/promises";
import * as controlNode from "../../src/control/control_node.ts";
import * as deferredDriver from "../../src/control/deferred_driver.ts";
import * as replicatedState from "../../src/control/replicated_state.ts";
import * as metrics from "../../src/metrics/mod.ts";
import * as heldLog from "./held_log.ts";

const HOST = { name: "entry-1", incarnation: "a", failureDomain: "d1" };
const MODEL = "advice/size";
const ENTRY = {
  identity: HOST,
  roles: ["entry"],
  heardAt: 0,
  appliedIndex: 0,
  version: 0,
  current: true,
  draining: false,
  demand: [],
  lingering: [],
  deferredCapacity: 8,
};
const SERVER: protocol.control.ServerStatus = {
  id: "engine-1",
  incarnation: "a",
  address: "http://127.0.0.1:1",
  failureDomain: "d1",
  kind: "engine",
  services: [],
  ready: [MODEL],
  limit: 8,
  queued: 0,
  usable: true,
};
/** Several looks at who leads, in milliseconds. */
const LOOKS_MS = 100;

const WAITING = {
  id: "a".repeat(32),
  workspace: "web",
  key: undefined,
  requestDigest: "",
  idempotent: false,
  acceptedMs: 0,
  deadlineMs: Number.MAX_SAFE_INTEGER,
  cancelled: false,
  mayHaveRun: false,
  phase: {
    kind: "waiting",
    request: {
      workspace: "web",
      service: "advice",
      model: MODEL,
      method: "POST",
      path: "/v1/completions",
      contentType: "application/json",
      body: "{}",
      tier: "later",
      idempotent: false,
    },
  },
} as const;

describe("assignments of which the outcome is not known", () => {
  it("count as being committed until the log has passed them", async () => {
    let appliedIndex = 2;
    let lastIndex = 2;
    const driver = new deferredDriver.DeferredDriver({
      replicated: {
        get appliedIndex() {
          return appliedIndex;
        },
        state: {
          assignedDeferred: () => [],
          waitingDeferred: () => [WAITING],
        },
      },
      lastIndex: () => lastIndex,
      hosts: { live: () => [ENTRY] },
      servers: { statuses: () => [SERVER] },
      placement: {
        capacity: () => ({ loaded: true, spare: 4, concurrency: 4, loadMs: 0 }),
        demandOf: () => undefined,
        setDeferredDemand: () => undefined,
      },
      propose: () => {
        lastIndex += 1;
        return Promise.reject(new Error("no outcome in time"));
      },
    });
    driver.run(performance.now());
    expect(lastIndex).to.equal(3);
    await timers.setImmediate();
    expect(driver.isAssigningTo(HOST)).to.equal(true);
    appliedIndex = 3;
    expect(driver.isAssigningTo(HOST)).to.equal(false);
  });

  it("are waited for by a leader whose lease had lapsed", async () => {
    const replicated = new replicatedState.ReplicatedState();
    replicated.apply([heldLog.noop(1)]);
    const log = new heldLog.HeldLog(2);
    using node = new controlNode.ControlNode({
      address: log.leaderAddress,
      log,
      replicated,
      metrics: new metrics.Metrics(),
    });
    await timers.setTimeout(LOOKS_MS);
    expect(node.leadership).to.equal(undefined);
    replicated.apply([heldLog.noop(2)]);
    await wait.waitFor("the leadership", () => node.leadership !== undefined);
  });
});
