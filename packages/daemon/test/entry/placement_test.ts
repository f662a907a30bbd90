import * as core from "@ebonypath/core";
import { type control, errors } from "@ebonypath/protocol";
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import * as timers from "node:timers/promises";
import * as entry from "../../src/entry/mod.ts";
import * as triedServers from "../../src/entry/tried_servers.ts";
import * as fixtures from "./work_fixtures.ts";

const SERVER: control.ServerStatus = {
  id: "plain-1",
  incarnation: "a",
  address: "http://127.0.0.1:1",
  failureDomain: "fd-1",
  kind: "plain",
  services: ["orders", "stock"],
  ready: [],
  limit: 8,
  queued: 0,
  usable: true,
};

/** A placement queue with a manual clock and a server with manual slots. */
class Harness {
  now = 0;
  free = 0;
  running = 0;
  isSettled = true;
  readonly servers = new Map([[SERVER.id, SERVER]]);
  readonly disconnected = new AbortController();
  readonly suspects = new core.suspicion.HostSuspects();
  /** Published number of requests that wait for slots, by pool. */
  readonly waiting = new Map<string, number | undefined>();
  readonly queue = new entry.PlacementQueue({
    state: {
      view: new core.state.FleetViewCache(),
      servers: this.servers,
      isCurrent: () => true,
    },
    shares: {
      acquireSlot: (server, deadline) => {
        this.free -= 1;
        return { kind: "acquired", slot: { server, deadline } };
      },
      availableSlots: () => this.free,
      runningOn: () => this.running,
      isConverged: () => this.isSettled,
      setWaitingSlots: (pool, slots) => this.waiting.set(pool, slots?.count),
    },
    suspects: this.suspects,
    maxQueue: 10_000,
    requestExchange: () => undefined,
    now: () => this.now,
  });

  constructor() {
    // Each waiting request adds an abort listener.
    setMaxListeners(Infinity, this.disconnected.signal);
  }

  place(
    workspace: string,
    target = "orders",
    tried: triedServers.PriorAttempts = triedServers.NO_PRIOR_ATTEMPTS,
  ) {
    const work = fixtures.work(workspace, { target });
    return fixtures.trackWait(
      this.queue.place(work, tried, this.disconnected.signal, 0),
    );
  }

  /** Places a request that was in flight when a server crashed. */
  suspect(workspace: string) {
    const work = fixtures.work(workspace);
    const { fingerprint, target: model } = work;
    const inFlight = [{ fingerprint, workspace, model }];
    this.suspects.recordCrash("plain-0", "a", inFlight, this.now);
    const { signal } = this.disconnected;
    const tracked = fixtures.trackWait(
      this.queue.place(work, triedServers.NO_PRIOR_ATTEMPTS, signal, 0),
    );
    return Object.assign(tracked, { fingerprint });
  }

  /** Frees slots every 100 ms until `untilMs`. */
  serve(slots: number, untilMs: number): void {
    for (this.now = 100; this.now <= untilMs; this.now += 100) {
      this.free = slots;
      this.queue.placeWaiting();
    }
    this.free = 0;
  }
}

interface Case {
  readonly name: string;
  readonly waitingCount: number;
  /** Slots that become free every 100 ms. */
  readonly slotsPerStep: number;
  readonly arrivesAt: number;
  readonly workspace?: string;
  readonly target?: string;
  /** Slots in use, and the time for which each is held. */
  readonly slots?: readonly [count: number, heldMs: number];
  /**
   * Whether the shares are settled under the current leader; true by default.
   */
  readonly isSettled?: boolean;
  readonly ending: "waiting" | "refused";
}

const BACKLOG = { waitingCount: 900, slotsPerStep: 10, arrivesAt: 1_500 };
const CASES: readonly Case[] = [
  { ...BACKLOG, name: "cannot start in time", ending: "refused" },
  {
    ...BACKLOG,
    isSettled: false,
    name: "arrives while the shares are unsettled",
    ending: "waiting",
  },
  { ...BACKLOG, waitingCount: 300, name: "starts in time", ending: "waiting" },
  {
    ...BACKLOG,
    slotsPerStep: 0,
    name: "waits for a cold model",
    ending: "waiting",
  },
  {
    ...BACKLOG,
    arrivesAt: 500,
    name: "arrives before the throughput is known",
    ending: "waiting",
  },
  {
    ...BACKLOG,
    workspace: "quiet",
    name: "is of a workspace without a backlog",
    ending: "waiting",
  },
  {
    ...BACKLOG,
    target: "stock",
    name: "has another target than the backlog",
    ending: "waiting",
  },
  {
    ...BACKLOG,
    slots: [30, 50],
    name: "can use newly granted slots",
    ending: "waiting",
  },
];

describe("PlacementQueue", () => {
  for (const testCase of CASES) {
    it(`a request that ${testCase.name} is ${testCase.ending}`, async () => {
      const harness = new Harness();
      harness.isSettled = testCase.isSettled ?? true;
      for (let i = 0; i < testCase.waitingCount; i += 1) harness.place("loud");
      harness.serve(testCase.slotsPerStep, testCase.arrivesAt);
      const [running, heldMs] = testCase.slots ?? [0, 0];
      harness.running = running;
      if (running > 0) {
        harness.queue.serviceTimes.observeSlotTime("orders", heldMs);
      }
      const last = harness.place(testCase.workspace ?? "loud", testCase.target);
      await timers.setImmediate();
      expect(last.ending.kind).to.equal(testCase.ending);
      if (last.ending.kind === "refused") {
        const refusal = last.ending.error as errors.Refusal;
        expect(refusal.definition).to.equal(errors.NO_CAPACITY);
        expect(refusal.outcome).to.equal("not-run");
        expect(refusal.retryAfterSeconds).to.be.greaterThan(1);
      }
      harness.disconnected.abort();
    });
  }

  it("gives no slot to a request that can no longer be answered in time", async () => {
    const harness = new Harness();
    const late = harness.place("loud");
    harness.now = 3_000;
    for (const ms of [2_400, 2_400]) {
      harness.queue.serviceTimes.observeAnswer("orders", false, ms);
    }
    harness.free = 1;
    harness.queue.placeWaiting();
    await timers.setImmediate();
    expect(late.ending.kind).to.equal("refused");
    expect(harness.free).to.equal(1);
  });

  it("retries on a failed server after the avoidance period", async () => {
    const harness = new Harness();
    const tried = new triedServers.TriedServers();
    tried.add(SERVER.id);
    tried.recordReached(harness.now);
    harness.free = 1;
    const retry = harness.place("loud", "orders", tried);
    harness.now = triedServers.FIRST_AVOIDANCE_MS - 1;
    harness.queue.placeWaiting();
    await timers.setImmediate();
    expect(retry.ending.kind).to.equal("waiting");
    harness.now += 1;
    harness.queue.placeWaiting();
    await timers.setImmediate();
    expect(retry.ending.kind).to.equal("served");
  });

  it("retries on another server at once", async () => {
    const harness = new Harness();
    const tried = new triedServers.TriedServers();
    tried.add(SERVER.id);
    tried.recordReached(harness.now);
    const retry = harness.place("loud", "orders", tried);
    harness.servers.set("plain-2", { ...SERVER, id: "plain-2" });
    harness.free = 1;
    harness.queue.placeWaiting();
    await timers.setImmediate();
    expect(retry.ending.kind).to.equal("served");
  });

  it("serves a waiting request before a new one", async () => {
    const harness = new Harness();
    const first = harness.place("quiet");
    harness.free = 1;
    const second = harness.place("loud");
    await timers.setImmediate();
    expect(first.ending.kind).to.equal("served");
    expect(second.ending.kind).to.equal("waiting");
    harness.disconnected.abort();
  });

  it("places a request at once if none is waiting", async () => {
    const harness = new Harness();
    harness.free = 1;
    const served = harness.place("quiet");
    await timers.setImmediate();
    expect(served.ending.kind).to.equal("served");
    expect(harness.free).to.equal(0);
  });

  it("places what ends before its host stops, and refuses the rest", async () => {
    const harness = new Harness();
    harness.queue.serviceTimes.observeAnswer("orders", false, 800);
    harness.queue.beginDrain(2_000);
    harness.free = 2;
    // 800 ms and a quarter, and 100 ms for the answer to arrive.
    harness.now = 899;
    const inTime = harness.place("quiet");
    harness.now = 901;
    const late = harness.place("quiet");
    const unknown = harness.place("quiet", "stock");
    await timers.setImmediate();
    expect(inTime.ending.kind).to.equal("served");
    for (const { ending } of [late, unknown]) {
      expect(ending.kind).to.equal("refused");
      const { error } = ending as { error: errors.Refusal };
      expect(error.definition).to.equal(errors.NO_CAPACITY);
      expect(error.outcome).to.equal("not-run");
    }
    expect(harness.free).to.equal(1);
  });

  it("gives no slot to a waiting request once it would outlast its host", async () => {
    const harness = new Harness();
    harness.queue.serviceTimes.observeAnswer("orders", false, 800);
    harness.queue.beginDrain(2_000);
    const waiting = harness.place("quiet");
    harness.now = 901;
    harness.free = 1;
    harness.queue.placeWaiting();
    await timers.setImmediate();
    expect(waiting.ending.kind).to.equal("refused");
    expect(harness.free).to.equal(1);
  });

  it("takes no slot for a disconnected caller", async () => {
    const harness = new Harness();
    harness.free = 1;
    harness.disconnected.abort();
    const left = harness.place("quiet");
    await timers.setImmediate();
    expect(left.ending.kind).to.equal("refused");
    expect(harness.free).to.equal(1);
  });

  it("requests a slot for a suspect only after its admission", () => {
    const harness = new Harness();
    const { fingerprint } = harness.suspect("web-shop");
    harness.queue.placeWaiting();
    expect([...harness.waiting.values()]).to.deep.equal([]);
    harness.suspects.update([{
      kind: "admitted",
      fingerprint,
      server: SERVER.id,
      remainingMs: 1_000,
    }], harness.now);
    harness.queue.placeWaiting();
    expect([...harness.waiting.values()]).to.deep.equal([1]);
    harness.disconnected.abort();
  });

  it("finds another server for a suspect whose server is lost", async () => {
    const harness = new Harness();
    const suspect = harness.suspect("web-shop");
    harness.free = 1;
    const tracker = new core.suspicion.SuspectTracker();
    const exchange = () =>
      harness.suspects.update(
        tracker.exchange("h0", harness.suspects.takeReports(), harness.now),
        harness.now,
      );
    // A new leader receives an admission request for a server that is now lost.
    harness.suspects.requestAdmission(suspect.fingerprint, ["plain-0"], 20_000);
    for (let i = 0; i < 3; i += 1) {
      exchange();
      harness.queue.placeWaiting();
    }
    await timers.setImmediate();
    expect(suspect.ending.kind).to.equal("served");
  });

  it("requests slots for requests queued behind a suspect", () => {
    const harness = new Harness();
    harness.suspect("web-shop");
    harness.place("partner");
    harness.queue.placeWaiting();
    expect([...harness.waiting.values()]).to.deep.equal([2]);
    harness.disconnected.abort();
  });

  it("places requests for every target with a free slot", async () => {
    const harness = new Harness();
    for (let i = 0; i < 5; i += 1) harness.place("loud", "cold");
    const served = harness.place("loud", "orders");
    harness.free = 1;
    harness.queue.placeWaiting();
    await timers.setImmediate();
    expect(served.ending.kind).to.equal("served");
    harness.disconnected.abort();
  });
});
