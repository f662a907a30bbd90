import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway, suspicion } from "@ebonypath/protocol";
import { expect } from "chai";
import * as changeCommitter from "../../src/gateway/control/change_committer.ts";
import * as quarantineManager from "../../src/gateway/control/quarantine_manager.ts";
import * as fixtures from "./fixtures.ts";

/** Time until all hosts have reported a crash, and a check after it, in ms. */
const VERDICT_MS = core.suspicion.CRASH_REPORT_WINDOW_MS + 300;
const FINGERPRINT = "00112233445566778899aabbccddeeff";
const REQUEST = { fingerprint: FINGERPRINT, workspace: "t1", model: "desk" };

function crash(server: string): suspicion.SuspicionReport {
  return { kind: "death", server, incarnation: "1", inFlight: [REQUEST] };
}

const WAITING: suspicion.SuspicionReport = {
  kind: "waiting",
  fingerprint: FINGERPRINT,
  servers: ["s3", "s4"],
  runMs: 1_000,
};

describe("a quarantine manager", () => {
  let state: core.gateway.GatewayState;
  let commands: gateway.Command[];
  let changes: number;
  let manager: quarantineManager.QuarantineManager;

  beforeEach(() => {
    state = new core.gateway.GatewayState();
    commands = [];
    changes = 0;
    const commit = (command: gateway.Command) => {
      commands.push(command);
      state.apply(command);
      manager.onStateChange();
      return Promise.resolve();
    };
    const committer = new changeCommitter.ChangeCommitter({
      state: () => state,
      commit,
    });
    manager = new quarantineManager.QuarantineManager({
      state: () => state,
      serverCount: () => 8,
      commit,
      commitChange: (request) => committer.commit(request),
      onChange: () => changes += 1,
    });
  });

  afterEach(() => manager[Symbol.dispose]());

  function exchange(host: string, ...suspicions: suspicion.SuspicionReport[]) {
    const report = fixtures.report(host, { suspicions });
    return manager.exchange(report, performance.now());
  }

  it("quarantines a request that crashes servers at several hosts", async () => {
    exchange("h1", crash("s1"));
    exchange("h2", crash("s2"));
    expect(changes).to.equal(1);
    const { watched = [] } = exchange("h3", WAITING);
    expect(watched.map(({ kind }) => kind)).to.deep.equal(["admitted"]);
    exchange("h3", crash("s3"), {
      kind: "ended",
      fingerprint: FINGERPRINT,
      survived: false,
    });
    // Until all hosts have reported, it is admitted nowhere.
    const waiting = exchange("h1", { ...WAITING, servers: ["s4"] }).watched;
    expect(waiting?.map(({ kind }) => kind)).to.deep.equal(["suspect"]);
    await timers.setTimeout(VERDICT_MS);
    expect(commands.map(({ kind }) => kind)).to.deep.equal(["quarantine"]);
    expect(state.quarantines[0]).to.include(REQUEST);
    expect(exchange("h1").watched).to.deep.equal([]);
  });

  it("lists quarantines for hosts that know another revision", () => {
    const untilMs = Date.now() + 60_000;
    state.apply({ kind: "quarantine", ...REQUEST, untilMs });
    const { requests, revision } = manager.listFor(0)!;
    expect(revision).to.equal(1);
    expect(requests[0]?.remainingMs).to.be.within(59_000, 60_000);
    expect(manager.listFor(1)).to.equal(undefined);
    const watch = { host: "h", term: 1, revision: 1, configuration: null };
    const hasNews = (quarantineRevision?: number) =>
      manager.hasNewsFor({
        ...watch,
        ...(quarantineRevision === undefined ? {} : { quarantineRevision }),
      });
    expect([hasNews(0), hasNews(1), hasNews()])
      .to.deep.equal([true, false, false]);
  });

  it("ends a quarantine after its time", async () => {
    state.apply({ kind: "quarantine", ...REQUEST, untilMs: 1_000 });
    manager.expire(999);
    expect(commands).to.deep.equal([]);
    manager.expire(1_000);
    await Promise.resolve();
    expect(commands).to.deep.equal([
      { kind: "release-quarantine", fingerprint: FINGERPRINT },
    ]);
    expect(state.quarantines).to.deep.equal([]);
  });
});
