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

/** A queue with a clock, and a server whose slots are freed by hand. */
class Bench {
  now = 0;
  free = 0;
  running = 0;
  isSettled = true;
  readonly servers = new Map([[SERVER.id, SERVER]]);
  readonly gone = new AbortController();
  readonly watch = new core.suspicion.HostSuspects();
  /** Requests said to wait for slots, by server. */
  readonly waiting = new Map<string, number | undefined>();
  readonly queue = new entry.PlacementQueue({
    state: {
      view: new core.state.View(),
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
      isSettled: () => this.isSettled,
      setWaitingSlots: (pool, slots) => this.waiting.set(pool, slots?.count),
    },
    suspects: this.watch,
    maxQueue: 10_000,
    requestExchange: () => undefined,
    now: () => this.now,
  });

  constructor() {
    // Each waiting request listens for the end of its caller.
    setMaxListeners(Infinity, this.gone.signal);
  }

  place(
    workspace: string,
    target = "orders",
    tried: triedServers.PriorAttempts = triedServers.NO_PRIOR_ATTEMPTS,
  ) {
    const work = fixtures.work(workspace, { target });
    return fixtures.follow(
      this.queue.place(work, tried, this.gone.signal, 0),
    );
  }

  /** Places a request that was in flight when a server died. */
  suspect(workspace: string) {
    const work = fixtures.work(workspace);
    const { fingerprint, target: model } = work;
    const inFlight = [{ fingerprint, workspace, model }];
    this.watch.recordCrash("plain-0", "a", inFlight, this.now);
    const { signal } = this.gone;
    const followed = fixtures.follow(
      this.queue.place(work, triedServers.NO_PRIOR_ATTEMPTS, signal, 0),
    );
    return Object.assign(followed, { fingerprint });
  }

  /** Frees slots each 100 ms until `untilMs`. */
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
  readonly waiting: number;
  /** Slots that become free each 100 ms. */
  readonly supply: number;
  readonly at: number;
  readonly workspace?: string;
  readonly target?: string;
  /** Slots in use, and the time for which each is held. */
  readonly slots?: readonly [count: number, heldMs: number];
  /** Whether a leader has divided the slots for a while; true by default. */
  readonly isSettled?: boolean;
  readonly ending: "waiting" | "refused";
}

const FLOOD = { waiting: 900, supply: 10, at: 1_500 };
const CASES: readonly Case[] = [
  { ...FLOOD, name: "cannot start in time", ending: "refused" },
  {
    ...FLOOD,
    isSettled: false,
    name: "meets a new leader",
    ending: "waiting",
  },
  { ...FLOOD, waiting: 300, name: "starts in time", ending: "waiting" },
  { ...FLOOD, supply: 0, name: "waits for a cold model", ending: "waiting" },
  { ...FLOOD, at: 500, name: "meets an unknown rate", ending: "waiting" },
  {
    ...FLOOD,
    workspace: "quiet",
    name: "is of a workspace beside a loud one",
    ending: "waiting",
  },
  {
    ...FLOOD,
    target: "stock",
    name: "has another target than the others",
    ending: "waiting",
  },
  {
    ...FLOOD,
    slots: [30, 50],
    name: "has slots that came from the leader",
    ending: "waiting",
  },
];

describe("waiting for slots", () => {
  for (const one of CASES) {
    it(`a request that ${one.name}: ${one.ending}`, async () => {
      const bench = new Bench();
      bench.isSettled = one.isSettled ?? true;
      for (let i = 0; i < one.waiting; i += 1) bench.place("loud");
      bench.serve(one.supply, one.at);
      const [running, heldMs] = one.slots ?? [0, 0];
      bench.running = running;
      if (running > 0) {
        bench.queue.serviceTimes.observeSlotTime("orders", heldMs);
      }
      const last = bench.place(one.workspace ?? "loud", one.target);
      await timers.setImmediate();
      expect(last.ending.kind).to.equal(one.ending);
      if (last.ending.kind === "refused") {
        const refusal = last.ending.error as errors.Refusal;
        expect(refusal.definition).to.equal(errors.NO_CAPACITY);
        expect(refusal.outcome).to.equal("not-run");
        expect(refusal.retryAfterSeconds).to.be.greaterThan(1);
      }
      bench.gone.abort();
    });
  }

  it("are not given to what can no longer be answered in time", async () => {
    const bench = new Bench();
    const late = bench.place("loud");
    bench.now = 3_000;
    for (const ms of [2_400, 2_400]) {
      bench.queue.serviceTimes.observeAnswer("orders", false, ms);
    }
    bench.free = 1;
    bench.queue.placeWaiting();
    await timers.setImmediate();
    expect(late.ending.kind).to.equal("refused");
    expect(bench.free).to.equal(1);
  });

  it("of a server that failed are given again after a while", async () => {
    const bench = new Bench();
    const tried = new triedServers.TriedServers();
    tried.add(SERVER.id);
    tried.recordReached(bench.now);
    bench.free = 1;
    const retry = bench.place("loud", "orders", tried);
    bench.now = triedServers.FIRST_AVOIDANCE_MS - 1;
    bench.queue.placeWaiting();
    await timers.setImmediate();
    expect(retry.ending.kind).to.equal("waiting");
    bench.now += 1;
    bench.queue.placeWaiting();
    await timers.setImmediate();
    expect(retry.ending.kind).to.equal("served");
  });

  it("of another server are given at once to what failed", async () => {
    const bench = new Bench();
    const tried = new triedServers.TriedServers();
    tried.add(SERVER.id);
    tried.recordReached(bench.now);
    const retry = bench.place("loud", "orders", tried);
    bench.servers.set("plain-2", { ...SERVER, id: "plain-2" });
    bench.free = 1;
    bench.queue.placeWaiting();
    await timers.setImmediate();
    expect(retry.ending.kind).to.equal("served");
  });

  it("go to what waits before what arrives", async () => {
    const bench = new Bench();
    const first = bench.place("quiet");
    bench.free = 1;
    const second = bench.place("loud");
    await timers.setImmediate();
    expect(first.ending.kind).to.equal("served");
    expect(second.ending.kind).to.equal("waiting");
    bench.gone.abort();
  });

  it("go to what finds nothing before it", async () => {
    const bench = new Bench();
    bench.free = 1;
    const served = bench.place("quiet");
    await timers.setImmediate();
    expect(served.ending.kind).to.equal("served");
    expect(bench.free).to.equal(0);
  });

  it("are not taken for a caller who has left", async () => {
    const bench = new Bench();
    bench.free = 1;
    bench.gone.abort();
    const left = bench.place("quiet");
    await timers.setImmediate();
    expect(left.ending.kind).to.equal("refused");
    expect(bench.free).to.equal(1);
  });

  it("are asked for a suspect once it is admitted", () => {
    const bench = new Bench();
    const { fingerprint } = bench.suspect("web-shop");
    bench.queue.placeWaiting();
    expect([...bench.waiting.values()]).to.deep.equal([]);
    bench.watch.update([{
      kind: "admitted",
      fingerprint,
      server: SERVER.id,
      remainingMs: 1_000,
    }], bench.now);
    bench.queue.placeWaiting();
    expect([...bench.waiting.values()]).to.deep.equal([1]);
    bench.gone.abort();
  });

  it("are sought elsewhere for a suspect whose server is gone", async () => {
    const bench = new Bench();
    const suspect = bench.suspect("web-shop");
    bench.free = 1;
    const ledger = new core.suspicion.SuspectTracker();
    const exchange = () =>
      bench.watch.update(
        ledger.exchange("h0", bench.watch.takeReports(), bench.now),
        bench.now,
      );
    // A new leader took the wish of a moment ago, for a server that is lost.
    bench.watch.requestAdmission(suspect.fingerprint, ["plain-0"], 20_000);
    for (let i = 0; i < 3; i += 1) {
      exchange();
      bench.queue.placeWaiting();
    }
    await timers.setImmediate();
    expect(suspect.ending.kind).to.equal("served");
  });

  it("are asked for what waits behind a suspect", () => {
    const bench = new Bench();
    bench.suspect("web-shop");
    bench.place("partner");
    bench.queue.placeWaiting();
    expect([...bench.waiting.values()]).to.deep.equal([2]);
    bench.gone.abort();
  });

  it("go to every target that has room", async () => {
    const bench = new Bench();
    for (let i = 0; i < 5; i += 1) bench.place("loud", "cold");
    const served = bench.place("loud", "orders");
    bench.free = 1;
    bench.queue.placeWaiting();
    await timers.setImmediate();
    expect(served.ending.kind).to.equal("served");
    bench.gone.abort();
  });
});
