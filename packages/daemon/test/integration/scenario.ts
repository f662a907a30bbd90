/**
 * A fleet of real daemons with fake backend servers and a configuration.
 *
 * @module
 */
import { configuration as protocol, type operators } from "@ebonypath/protocol";
import { fakeBackend, launcher, wait } from "@ebonypath/testing";
import { fileURLToPath } from "node:url";
import * as v from "valibot";
import * as caller from "./caller.ts";

/** The daemon as it is built. */
const DAEMON = fileURLToPath(new URL("../../src/main.js", import.meta.url));
const GIB = 2 ** 30;
/** Longest wait for a change to be in force everywhere, in milliseconds. */
const IN_FORCE_TIMEOUT_MS = 8_000;

/** Longest wait for a fleet that has just started, in milliseconds. */
const SERVING_TIMEOUT_MS = 20_000;

/** A model of the test configuration. */
export const MODEL = "advice/last";
/** Another model; it does not fit beside `MODEL` on a small engine. */
export const OTHER_MODEL = "advice/lambskin";
/** An adapter of `MODEL`. */
export const ADAPTER = `${MODEL}:wool`;

/** Options of a call in the tier that waits longer. */
export const PATIENT = { headers: { "ebonypath-tier": "patient" } };

/** Two services, two workspaces, a connected and a deferred tier. */
export const CONFIGURATION: protocol.Configuration = v.parse(
  protocol.Configuration,
  {
    workspaces: [
      { name: "web-shop", rate: 1e6, burst: 1e6 },
      { name: "partner", rate: 100, burst: 300 },
    ],
    services: [
      {
        name: "advice",
        kind: "model",
        models: [
          {
            name: "last",
            bytes: 10 * GIB,
            kvBytes: GIB,
            maxReplicas: 2,
            adapters: [{ name: "wool", bytes: GIB }],
          },
          { name: "lambskin", bytes: 10 * GIB, kvBytes: GIB, maxReplicas: 2 },
        ],
        workspaces: ["web-shop", "partner"],
        tiers: [
          {
            name: "now",
            maxWaitMs: 5_000,
            priceFactor: 1,
            delivery: "connected",
          },
          {
            name: "patient",
            maxWaitMs: 20_000,
            priceFactor: 0.8,
            delivery: "connected",
          },
          {
            name: "later",
            maxWaitMs: 30_000,
            priceFactor: 0.3,
            delivery: "deferred",
          },
        ],
      },
      {
        name: "orders",
        kind: "plain",
        routes: [
          { method: "GET", path: "/stock/*", idempotent: true },
          { method: "POST", path: "/orders", idempotent: false },
          { method: "GET", path: "/hours", idempotent: true, open: true },
        ],
        workspaces: ["web-shop"],
        tiers: [{
          name: "now",
          maxWaitMs: 5_000,
          priceFactor: 1,
          delivery: "connected",
        }],
      },
    ],
  },
);

/** The test configuration with a deferred tier of the plain service. */
export function withDeferredOrders(): protocol.Configuration {
  const { workspaces, services } = CONFIGURATION;
  const later = services[0]?.tiers.find((tier) => tier.name === "later");
  return {
    workspaces,
    services: services.map((service) =>
      service.name === "orders" && later !== undefined
        ? { ...service, tiers: [...service.tiers, later] }
        : service
    ),
  };
}

/** How a scenario is laid out. */
export interface ScenarioOptions {
  readonly hosts?: number;
  readonly voters?: number;
  readonly withLinks?: boolean;
  /** Environment of the daemons. */
  readonly env?: Readonly<Record<string, string>>;
  readonly limits?: Readonly<Record<string, number>>;
  readonly configuration?: protocol.Configuration;
  readonly engines?: ReadonlyArray<Partial<fakeBackend.FakeBackendOptions>>;
  readonly plains?: ReadonlyArray<Partial<fakeBackend.FakeBackendOptions>>;
}

/** A running scenario. */
export class Scenario {
  readonly engines: fakeBackend.FakeBackend[] = [];
  readonly plains: fakeBackend.FakeBackend[] = [];
  readonly fleet: launcher.Fleet;
  readonly store = new fakeBackend.WeightStore();
  /** Keys by workspace. */
  readonly keys = new Map<string, { id: string; key: string }>();

  private constructor(fleet: launcher.Fleet) {
    this.fleet = fleet;
  }

  /**
   * Starts the daemons, publishes the configuration, grants a key to each
   * workspace, and starts the fakes.
   */
  static async start(options: ScenarioOptions = {}): Promise<Scenario> {
    const fleet = await launcher.startFleet({
      daemonPath: DAEMON,
      hosts: options.hosts ?? 3,
      ...(options.voters === undefined ? {} : { voters: options.voters }),
      ...(options.limits === undefined ? {} : { limits: options.limits }),
      ...(options.env === undefined ? {} : { env: options.env }),
      withLinks: options.withLinks ?? false,
    });
    const scenario = new Scenario(fleet);
    try {
      await scenario.#prepare(options);
      return scenario;
    } catch (error) {
      await scenario[Symbol.asyncDispose]();
      throw error;
    }
  }

  get fakes(): fakeBackend.FakeBackend[] {
    return [...this.engines, ...this.plains];
  }

  get violations(): fakeBackend.Violation[] {
    return this.fakes.flatMap((fake) => fake.journal.violations);
  }

  /** A caller of one workspace at one host. */
  caller(host = 0, workspace = "web-shop"): caller.Caller {
    const key = this.keys.get(workspace)?.key;
    return new caller.Caller(this.fleet.host(host).callers, key);
  }

  /** Executions of a non-idempotent call at all plain services. */
  executionsOf(id: string): number {
    return this.plains.reduce(
      (sum, plain) => sum + plain.journal.executionsOf(id),
      0,
    );
  }

  /** Waits until a non-idempotent call runs or has run. */
  async waitUntilExecuted(id: string): Promise<void> {
    await wait.waitFor("the execution", () => this.executionsOf(id) > 0);
  }

  /** The host that leads, once there is one. */
  async leader(): Promise<launcher.FleetHost> {
    return await wait.waitFor("a leader", () => this.fleet.leader());
  }

  /** Waits until a log index is in force at every running host. */
  async waitUntilInForce(index: number): Promise<void> {
    const running = this.fleet.hosts.filter((host) => host.isRunning);
    let states: operators.Status[] = [];
    await wait.waitFor(`index ${index} at every host`, async () => {
      states = await Promise.all(
        running.map((host) => host.operator.status()),
      );
      return states.every((state) => state.current && state.index >= index);
    }, {
      timeoutMs: IN_FORCE_TIMEOUT_MS,
      describe: () => JSON.stringify(states),
    });
  }

  /** Waits until every running host lists these fakes. */
  async waitUntilKnown(fakes = this.fakes): Promise<void> {
    const running = this.fleet.hosts.filter((host) => host.isRunning);
    await wait.waitFor("the backend servers at every host", async () => {
      const states = await Promise.all(
        running.map((host) => host.operator.status()),
      );
      return states.every((state) =>
        fakes.every((fake) =>
          state.servers.some((server) =>
            server.id === fake.id &&
            server.incarnation === fake.incarnation
          )
        )
      );
    }, { describe: () => String(fakes[0]?.announcementFailure) });
  }

  /**
   * Waits until every running host serves. A new leader grants no shares
   * before those of an earlier one have expired.
   */
  async waitUntilServing(): Promise<void> {
    const running = this.fleet.hosts.flatMap((host, index) =>
      host.isRunning ? [index] : []
    );
    await Promise.all(running.map((host) => this.#waitUntilServing(host)));
  }

  /** Starts one more fake backend server. */
  async addEngine(
    options: Partial<fakeBackend.FakeBackendOptions>,
  ): Promise<fakeBackend.FakeBackend> {
    const { length } = this.engines;
    const engine = await this.#startFake("engine", length, options);
    this.engines.push(engine);
    await this.waitUntilKnown([engine]);
    return engine;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.fakes.map((fake) => fake[Symbol.asyncDispose]()));
    await this.fleet[Symbol.asyncDispose]();
  }

  async #prepare(options: ScenarioOptions): Promise<void> {
    const { operator } = this.fleet.host(0);
    const configuration = options.configuration ?? CONFIGURATION;
    await operator.publish(configuration);
    for (const { name } of configuration.workspaces) {
      this.keys.set(name, await operator.grantKey(name));
    }
    for (const [index, engine] of (options.engines ?? []).entries()) {
      this.engines.push(await this.#startFake("engine", index, engine));
    }
    for (const [index, plain] of (options.plains ?? []).entries()) {
      this.plains.push(await this.#startFake("plain", index, plain));
    }
    await this.waitUntilInForce((await operator.status()).index);
    await this.waitUntilKnown();
    await this.waitUntilServing();
  }

  async #waitUntilServing(host: number): Promise<void> {
    const asked = this.caller(host);
    let last = "";
    await wait.waitFor(`service at host ${host + 1}`, async () => {
      const replies = [
        ...this.engines.length > 0 ? [await asked.chat(MODEL, "warm")] : [],
        ...this.plains.length > 0
          ? [await asked.call("GET", "/services/orders/stock/1")]
          : [],
      ];
      last = replies.map((reply) => reply.text).join("\n");
      return replies.every((reply) => reply.status === 200);
    }, { timeoutMs: SERVING_TIMEOUT_MS, describe: () => last });
  }

  async #startFake(
    kind: "engine" | "plain",
    index: number,
    options: Partial<fakeBackend.FakeBackendOptions>,
  ): Promise<fakeBackend.FakeBackend> {
    return await fakeBackend.startFakeBackend({
      id: `${kind}-${index + 1}`,
      kind,
      services: [kind === "engine" ? "advice" : "orders"],
      failureDomain: `fd-${index % 4 + 1}`,
      entries: this.fleet.backends,
      joinToken: this.fleet.secrets.joinToken,
      memoryBytes: 40 * GIB,
      loadTimes: { memoryMs: 20, diskMs: 50, storeMs: 150 },
      store: this.store,
      knownKeys: [...this.keys.values()].map(({ key }) => key),
      ...options,
    });
  }
}
