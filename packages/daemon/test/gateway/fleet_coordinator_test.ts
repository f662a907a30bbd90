import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as fleetCoordinator from "../../src/gateway/control/fleet_coordinator.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";

const TERM = 2;
/** Time in which a change is told to the hosts that need it, in ms. */
const PROMPT_MS = 100;
const MODELS = Array.from({ length: 40 }, (_, index) => `m${index}`);

function loaded(...names: string[]): gateway.LoadedModel[] {
  return names.map((name) => ({ name, version: 1, adapters: [] }));
}

function demand(model: string, slacksMs: number[]): gateway.ModelDemand {
  return {
    service: "advice",
    model,
    slacksMs,
    running: slacksMs.length === 0 ? 1 : 0,
    arrivals: 1,
  };
}

/** A leader that gives no orders. */
function createCoordinator(
  {
    metrics = new GatewayMetrics(),
    hasLease = () => false,
    committed = Promise.resolve(),
  }: {
    readonly metrics?: GatewayMetrics;
    readonly hasLease?: () => boolean;
    /** Resolves when commands are committed. */
    readonly committed?: Promise<void>;
  } = {},
): fleetCoordinator.FleetCoordinator {
  const state = new core.gateway.GatewayState();
  state.apply({
    kind: "add-software-version",
    service: "advice",
    softwareVersion: "1",
  });
  state.apply({
    kind: "configure",
    source: "",
    configuration: fixtures.configuration(MODELS, {
      workspaces: [{
        name: "shop",
        keys: ["k"],
        rate: {
          unit: "tokens",
          perSecond: 1_000,
          burst: 1_000,
          plainTokens: 1,
        },
      }],
    }),
  });
  return new fleetCoordinator.FleetCoordinator({
    host: "control-1",
    orderHolder: "control-1",
    orderTakeoverDelayMs: 60_000,
    retryBudget: { ratio: 0.2, slack: 54, windowMs: 10_000 },
    term: TERM,
    engineClient: {
      order: () => Promise.resolve({ kind: "accepted" }),
      report: () => Promise.reject(new Error("no report")),
    },
    metrics,
    state: () => state,
    controlHosts: () => [],
    hasLease,
    commit: async (command) => {
      await committed;
      state.apply(command);
    },
    commitChange: fixtures.refuseChanges,
    streamOrigins: new core.gateway.StreamOrigins(),
  });
}

/** A host that watches the leader from its current revision. */
class Watcher {
  /** Responses after the first, complete one. */
  responses: gateway.WatchResponse[] = [];
  readonly #coordinator: fleetCoordinator.FleetCoordinator;
  readonly #host: string;

  constructor(
    coordinator: fleetCoordinator.FleetCoordinator,
    host: string,
  ) {
    this.#coordinator = coordinator;
    this.#host = host;
  }

  async start(): Promise<void> {
    const first = await this.#coordinator.watch({
      host: this.#host,
      term: 0,
      revision: 0,
      configuration: null,
    });
    void this.#coordinator.watch({
      host: this.#host,
      term: TERM,
      revision: first.revision,
      configuration: 1,
    }).then((response) => this.responses.push(response));
  }
}

describe("a fleet coordinator", () => {
  let coordinator: fleetCoordinator.FleetCoordinator;
  let waiting: Watcher;
  let idle: Watcher;

  beforeEach(async () => {
    coordinator = createCoordinator();
    coordinator.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s1", { models: loaded("m1") }),
    });
    void coordinator.report(
      fixtures.report("waiting", { demand: [demand("m2", [500])] }),
    );
    void coordinator.report(fixtures.report("idle"));
    waiting = new Watcher(coordinator, "waiting");
    idle = new Watcher(coordinator, "idle");
    await waiting.start();
    await idle.start();
  });

  afterEach(() => coordinator[Symbol.dispose]());

  function change(overrides: Partial<gateway.Heartbeat>): void {
    coordinator.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s1", {
        sequence: 2,
        models: loaded("m1"),
        ...overrides,
      }),
    });
  }

  it("does not end a server for one that claims to be born in the far future", async () => {
    const { address } = fixtures.heartbeat("s1");
    const born = Number.MAX_SAFE_INTEGER;
    const malformed = fixtures.heartbeat("s9", { address, born });
    coordinator.handleHeartbeat({ kind: "heartbeat", heartbeat: malformed });
    const { inMemory: _, onDisk: __, ...fields } = malformed;
    const record = { ...fields, silentMs: 0, leaving: [] };
    void coordinator.report(fixtures.report("idle", { servers: [record] }));
    const { servers } = await coordinator.watch({
      host: "idle",
      term: 0,
      revision: 0,
      configuration: null,
    });
    expect(servers.map(({ id, state }) => `${id} ${state}`))
      .to.deep.equal(["s1 ready"]);
  });

  it("tells a loaded model at once to the hosts that wait for it", async () => {
    change({ models: loaded("m1", "m2") });
    await timers.setTimeout(PROMPT_MS);
    expect(waiting.responses).to.have.length(1);
    expect(waiting.responses[0]?.servers[0]?.models).to.have.length(2);
    expect(idle.responses).to.have.length(0);
  });

  it("tells a draining server at once to all hosts", async () => {
    change({ state: "draining" });
    await timers.setTimeout(PROMPT_MS);
    expect(waiting.responses).to.have.length(1);
    expect(idle.responses).to.have.length(1);
  });

  it("tells all changes to all hosts within a second", async () => {
    change({ models: loaded("m1", "m3") });
    await timers.setTimeout(1_000 + PROMPT_MS);
    expect(idle.responses[0]?.servers[0]?.models).to.have.length(2);
  });

  it("answers a host that begins to wait for a model that it doesn't know of", async () => {
    change({ models: loaded("m1", "m3") });
    await timers.setTimeout(PROMPT_MS);
    expect(idle.responses).to.have.length(0);
    void coordinator.report(
      fixtures.report("idle", { demand: [demand("m3", [500])] }),
    );
    await timers.setTimeout(PROMPT_MS);
    expect(idle.responses).to.have.length(1);
  });

  it("tells nobody of copies on disks", async () => {
    change({ onDisk: ["m2", "m3"] });
    await timers.setTimeout(PROMPT_MS);
    expect(waiting.responses).to.have.length(0);
  });

  it("tells all hosts of a workspace near its rate", async () => {
    void coordinator.report(fixtures.report("waiting", {
      usage: [{ workspace: "shop", tokens: 800, acknowledged: 0 }],
    }));
    await timers.setTimeout(PROMPT_MS);
    expect(idle.responses[0]?.limitedWorkspaces).to.deep.equal(["shop"]);
  });

  it("tells how long it held a watch, for as long as it holds the lease", async () => {
    let hasLease = true;
    using leader = createCoordinator({ hasLease: () => hasLease });
    const watch = (term: number) =>
      leader.watch({ host: "h", term, revision: 99, configuration: 1 });
    expect((await watch(0)).heldMs).to.be.within(0, PROMPT_MS);
    expect((await watch(TERM)).heldMs).to.be.within(990, 1_000 + PROMPT_MS);
    hasLease = false;
    expect((await watch(0)).heldMs).to.equal(undefined);
  });

  it("holds a watch no longer than its host wants", async () => {
    const watch = (waitMs: number) =>
      coordinator.watch({
        host: "h",
        term: TERM,
        revision: 99,
        configuration: 1,
        waitMs,
      });
    const startedAt = performance.now();
    await watch(0);
    expect(performance.now() - startedAt).to.be.below(PROMPT_MS);
    await watch(300);
    expect(performance.now() - startedAt).to.be.within(295, 300 + PROMPT_MS);
  });

  it("holds the watch of a host that has a later configuration than it", async () => {
    const startedAt = performance.now();
    await coordinator.watch({
      host: "h",
      term: TERM,
      revision: 99,
      configuration: 2,
      waitMs: 300,
    });
    expect(performance.now() - startedAt).to.be.within(295, 300 + PROMPT_MS);
  });

  it("measures the time until all hosts have a configuration", async () => {
    const metrics = new GatewayMetrics();
    using leader = createCoordinator({ metrics });
    const watch = (host: string, configuration: number | null) =>
      leader.watch({ host, term: 0, revision: 0, configuration });
    const rollouts = async () =>
      (await metrics.rollout.get()).values
        .find(({ metricName }) => metricName?.endsWith("_count"))?.value;
    await watch("a", null);
    await watch("b", null);
    await watch("a", 1);
    expect(await rollouts()).to.equal(0);
    await watch("b", 1);
    expect(await rollouts()).to.equal(1);
  });

  it("tells a host for how long it has had a configuration", async () => {
    using leader = createCoordinator({ metrics: new GatewayMetrics() });
    await timers.setTimeout(100);
    const request = { host: "a", term: 0, revision: 0, configuration: null };
    const response = await leader.watch(request);
    expect(response.configurationAgeMs).to.be.within(95, 100 + PROMPT_MS);
    const later = await leader.watch({
      ...request,
      configuration: 1,
    });
    expect(later.configurationAgeMs).to.equal(undefined);
  });

  it("tells the version of a stream that a host has reported", async () => {
    const origin = { service: "advice", softwareVersion: "v2" };
    await coordinator.report(fixtures.report("h", {
      streams: [{ id: "r1", ...origin, remainingMs: 5_000 }],
    }));
    const find = (id: string) =>
      coordinator.findStream({ id, services: ["advice"] });
    expect(find("r1")).to.deep.equal({ origin });
    expect(find("r2")).to.deep.equal({ origin: null });
  });

  it("infers the version of a stream while there is only one", async () => {
    using leader = createCoordinator({ hasLease: () => true });
    const find = () => leader.findStream({ id: "r1", services: ["advice"] });
    expect(find())
      .to.deep.equal({ origin: { service: "advice", softwareVersion: "1" } });
    leader.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s2", { softwareVersion: "2" }),
    });
    await timers.setTimeout(PROMPT_MS);
    expect(find()).to.deep.equal({ origin: null });
  });

  it("infers no version while another leader may know more", () => {
    expect(coordinator.findStream({ id: "r1", services: ["advice"] }))
      .to.deep.equal({ origin: null });
  });

  it("tells hosts of a server once its software version is committed", async () => {
    let commit: () => void = () => {};
    const committed = new Promise<void>((resolve) => commit = resolve);
    using leader = createCoordinator({ committed });
    leader.handleHeartbeat({
      kind: "heartbeat",
      heartbeat: fixtures.heartbeat("s2", { softwareVersion: "2" }),
    });
    const watch = () =>
      leader.watch({
        host: "h",
        term: 0,
        revision: 0,
        configuration: null,
        waitMs: 0,
      });
    await timers.setTimeout(PROMPT_MS);
    expect((await watch()).servers).to.deep.equal([]);
    expect((await watch()).mixedServices).to.deep.equal([]);
    commit();
    await timers.setTimeout(PROMPT_MS);
    expect((await watch()).servers.map(({ id }) => id)).to.deep.equal(["s2"]);
    expect((await watch()).mixedServices).to.deep.equal(["advice"]);
  });

  it("sends entry hosts no models of the engines", async () => {
    const response = await coordinator.watch({
      host: "new",
      term: 0,
      revision: 0,
      configuration: null,
    });
    const engine = response.configuration?.services[0]?.engine;
    expect(engine?.models).to.deep.equal([]);
    expect(engine?.slots).to.equal(8);
  });

  // An earlier report took back usage and demand that a later one had told.
  it("rejects a report that was held up until after the next one", async () => {
    const report = (sequence: number, tokens: number) =>
      coordinator.report(
        fixtures.report("h1", {
          sequence,
          usage: [{ workspace: "shop", tokens, acknowledged: 0 }],
        }),
      );
    await report(2, 150);
    const late = await report(1, 100).then(() => "recorded", () => "rejected");
    expect(late).to.equal("rejected");
    const { usage } = await coordinator.report(fixtures.report("h2"));
    expect(usage).to.deep.equal([{ workspace: "shop", tokens: 150 }]);
  });

  it("answers a report in a size that doesn't grow with hosts and servers", async () => {
    const answer = async () =>
      JSON.stringify(
        await coordinator.report(fixtures.report("waiting", {
          demand: [demand("m2", [500])],
          usage: [{ workspace: "shop", tokens: 5, acknowledged: 0 }],
        })),
      ).length;
    const before = await answer();
    for (let index = 2; index < 90; index += 1) {
      const id = `s${index}`;
      coordinator.handleHeartbeat({
        kind: "heartbeat",
        heartbeat: fixtures.heartbeat(id, {
          models: loaded(MODELS[index % 30 + 5] ?? "m9"),
        }),
      });
      void coordinator.report(fixtures.report(`h${index}`, {
        load: [{ server: id, model: "m9", running: 2 }],
        usage: [{ workspace: "shop", tokens: 1, acknowledged: 0 }],
      }));
    }
    // Only the digits of the counts differ.
    expect(await answer()).to.be.at.most(before + 20);
  });
});
