import * as timers from "node:timers/promises";
import { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import { readClocks } from "../../src/gateway/entry/clocks.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as stateConfirmer from "../../src/gateway/entry/state_confirmer.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

/** Age from which on a state is confirmed, in milliseconds. */
const CONFIRMATION_AGE_MS = 600;
const HOSTS = ["c1", "c2", "c3", "c4", "c5"];
/** Questions to each control host while a later state is not applied. */
const MAX_ROUNDS_PER_SECOND = 4;

/** A control host of the fixture. */
type ControlHost = {
  isReachable: boolean;
  newestIndex: number;
  stateIndex: number;
  hasLeader: boolean;
  /** Time that it takes to answer, in milliseconds. */
  answerMs: number;
};

/** An entry host with a state of index 7, before five control hosts. */
class Fixture implements Disposable {
  readonly view = new fleetView.FleetView();
  readonly confirmer: stateConfirmer.StateConfirmer;
  readonly hosts = new Map<string, ControlHost>(
    HOSTS.map((id) => [id, {
      isReachable: true,
      newestIndex: 7,
      stateIndex: 7,
      hasLeader: true,
      answerMs: 5,
    }]),
  );
  /** Whether questions for the state itself are not answered. */
  losesStates = false;
  /** Methods that were called, in order. */
  calls: string[] = [];

  constructor(ageMs = 2 * CONFIRMATION_AGE_MS) {
    this.confirmer = new stateConfirmer.StateConfirmer({
      rpc: {
        call: (peer, method, _params, timeoutMs) =>
          this.#answer(peer, method, timeoutMs),
      },
      controlHosts: () => HOSTS,
      onControlHosts: () => undefined,
      view: this.view,
      confirmationAgeMs: CONFIRMATION_AGE_MS,
      metrics: new GatewayMetrics(),
    });
    const { monotonicMs, wallMs } = readClocks();
    this.view.apply(
      fixtures.watchResponse({
        heldMs: 0,
        stateIndex: 7,
        configuration: fixtures.configuration([]),
        withdrawnDomains: ["a"],
      }),
      performance.now(),
      { monotonicMs: monotonicMs - ageMs, wallMs: wallMs - ageMs },
    );
  }

  get ageMs(): number {
    return this.view.configurationAgeMs(readClocks());
  }

  count(method: string): number {
    return this.calls.filter((call) => call === method).length;
  }

  /** Changes control hosts, which are named by their ids. */
  set(ids: readonly string[], change: Partial<ControlHost>): void {
    for (const id of ids) {
      const host = this.hosts.get(id);
      if (host !== undefined) Object.assign(host, change);
    }
  }

  [Symbol.dispose](): void {
    this.confirmer[Symbol.dispose]();
  }

  async #answer(
    peer: string,
    method: string,
    timeoutMs: number,
  ): Promise<unknown> {
    this.calls.push(method);
    const host = this.hosts.get(peer);
    const answerMs = host?.answerMs ?? Infinity;
    await timers.setTimeout(Math.min(answerMs, timeoutMs));
    const isAnswered = host?.isReachable === true && answerMs <= timeoutMs;
    if (!isAnswered) throw new Error("no answer");
    const { hasLeader, newestIndex, stateIndex } = host;
    if (method === gateway.METHODS.position) {
      return {
        member: peer,
        voters: HOSTS,
        controlHosts: HOSTS,
        newestIndex,
        stateIndex,
        hasLeader,
      } satisfies gateway.PositionResponse;
    }
    if (this.losesStates) throw new Error("no answer");
    return {
      index: stateIndex,
      configuration: fixtures.configuration([], { version: stateIndex }),
      withdrawnDomains: ["b"],
      mixedServices: [],
      quarantines: { revision: 1, requests: [] },
    } satisfies gateway.HostState;
  }
}

describe("the confirmation of a host's state", () => {
  it("needs no leader, only a majority of the control hosts", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2"], { isReachable: false });
    expect(await fixture.confirmer.confirm()).to.equal("current");
    expect(fixture.ageMs).to.be.below(100);
  });

  it("fetches the state that has replaced this host's", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2", "c3"], { newestIndex: 9 });
    fixture.set(["c2"], { stateIndex: 9 });
    expect(await fixture.confirmer.confirm()).to.equal("current");
    expect(fixture.view.stateIndex).to.equal(9);
    expect(fixture.view.configuration?.version).to.equal(9);
    expect(fixture.view.isDomainWithdrawn("a")).to.equal(false);
    expect(fixture.view.isDomainWithdrawn("b")).to.equal(true);
    expect(fixture.count(gateway.METHODS.state)).to.equal(1);
  });

  it("keeps the state that a majority confirms, though one has a newer entry", async () => {
    using fixture = new Fixture();
    fixture.set(["c1"], { newestIndex: 9 });
    expect(await fixture.confirmer.confirm()).to.equal("current");
    expect(fixture.view.stateIndex).to.equal(7);
  });

  it("does not trust a state whose successor no control host has applied", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2", "c3"], { newestIndex: 9 });
    const { ageMs } = fixture;
    expect(await fixture.confirmer.confirm()).to.equal("behind");
    expect(fixture.ageMs).to.be.at.least(ageMs);
  });

  it("gets a state as soon as it is applied", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2", "c3"], { newestIndex: 9 });
    const confirmation = fixture.confirmer.confirm();
    await timers.setTimeout(150);
    fixture.set(["c3"], { stateIndex: 9 });
    expect(await confirmation).to.equal("current");
    expect(fixture.view.stateIndex).to.equal(9);
  });

  it("gets a state that one control host has applied while most are silent", async () => {
    using fixture = new Fixture();
    fixture.set(HOSTS, { newestIndex: 9, stateIndex: 9 });
    fixture.set(["c1", "c2", "c3"], { isReachable: false, answerMs: 5_000 });
    const startedAt = performance.now();
    expect(await fixture.confirmer.confirm()).not.to.equal("current");
    expect(fixture.view.stateIndex).to.equal(9);
    expect(performance.now() - startedAt).to.be.below(1_500);
  });

  it("waits for control hosts that are late", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2", "c3"], { answerMs: 700 });
    expect(await fixture.confirmer.confirm()).to.equal("current");
  });

  it("is known to be in vain when a later state can't be fetched", async () => {
    using fixture = new Fixture();
    fixture.set(["c1"], { newestIndex: 9, stateIndex: 9 });
    fixture.set(["c2", "c3", "c4", "c5"], { isReachable: false });
    fixture.losesStates = true;
    expect(await fixture.confirmer.confirm()).to.equal("behind");
  });

  it("does not hold requests back while no control host knows a leader", async () => {
    using fixture = new Fixture();
    fixture.set(HOSTS, { hasLeader: false });
    fixture.set(["c1", "c2", "c3"], { newestIndex: 9 });
    expect(await fixture.confirmer.confirm()).to.equal("unknown");
  });

  it("asks little for as long as a later state is not applied", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2", "c3"], { newestIndex: 9 });
    fixture.confirmer.start();
    const until = performance.now() + 3_000;
    while (performance.now() < until) {
      void fixture.confirmer.confirm();
      await timers.setTimeout(20);
    }
    const rounds = fixture.count(gateway.METHODS.position) / HOSTS.length;
    expect(rounds).to.be.within(3, 3 * MAX_ROUNDS_PER_SECOND);
  });

  it("is not repeated for each request of a host that is cut off", async () => {
    using fixture = new Fixture();
    fixture.set(["c1", "c2", "c3"], { isReachable: false });
    expect(await fixture.confirmer.confirm()).to.equal("unknown");
    const { length } = fixture.calls;
    for (let request = 0; request < 20; request += 1) {
      expect(await fixture.confirmer.confirm()).to.equal("unknown");
    }
    expect(fixture.calls.length).to.equal(length);
    expect(fixture.view.configuration?.version).to.equal(1);
  });

  it("is shared by all that wait for it", async () => {
    using fixture = new Fixture();
    await Promise.all([
      fixture.confirmer.confirm(),
      fixture.confirmer.confirm(),
    ]);
    expect(fixture.count(gateway.METHODS.position)).to.equal(HOSTS.length);
  });

  it("keeps the age of a state bounded while no leader answers", async () => {
    using fixture = new Fixture(0);
    fixture.confirmer.start();
    const ages: number[] = [];
    for (let sample = 0; sample < 30; sample += 1) {
      await timers.setTimeout(100);
      ages.push(fixture.ageMs);
    }
    expect(Math.max(...ages)).to.be.below(CONFIRMATION_AGE_MS + 200);
    expect(fixture.count(gateway.METHODS.position)).to.be.within(
      3 * HOSTS.length,
      6 * HOSTS.length,
    );
  });

  it("asks nothing as long as the leader confirms the state", async () => {
    using fixture = new Fixture(0);
    fixture.confirmer.start();
    for (let answer = 0; answer < 20; answer += 1) {
      await timers.setTimeout(100);
      fixture.view.confirm(readClocks());
    }
    expect(fixture.calls).to.deep.equal([]);
  });

  it("gives the first state to a host that no leader has answered", async () => {
    const view = new fleetView.FleetView();
    using confirmer = new stateConfirmer.StateConfirmer({
      rpc: {
        call: (peer, method) =>
          method === gateway.METHODS.position
            ? Promise.resolve({
              member: peer,
              voters: HOSTS,
              controlHosts: HOSTS,
              newestIndex: 7,
              stateIndex: 7,
              hasLeader: true,
            })
            : Promise.resolve({
              index: 7,
              configuration: fixtures.configuration([]),
              withdrawnDomains: [],
              mixedServices: [],
              quarantines: { revision: 0, requests: [] },
            }),
      },
      controlHosts: () => HOSTS,
      onControlHosts: () => undefined,
      view,
      confirmationAgeMs: CONFIRMATION_AGE_MS,
      metrics: new GatewayMetrics(),
    });
    confirmer.start();
    await timers.setTimeout(1_000);
    expect(view.configuration?.version).to.equal(1);
  });
});
