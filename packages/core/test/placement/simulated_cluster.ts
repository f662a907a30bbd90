import type * as protocol from "@ebonypath/protocol";
import * as placement from "../../src/placement/mod.ts";
import * as state from "../../src/state/mod.ts";
import * as random from "../random.ts";
import * as fakeServer from "./fake_server.ts";

/** Fault injection rates: probabilities per second or per message. */
export interface Faults {
  readonly lostAnnouncement: number;
  /** Announcements that a host relays with a delay. */
  readonly delayedAnnouncement: number;
  readonly lostOrder: number;
  readonly lostAnswer: number;
  readonly restart: number;
  readonly silence: number;
  readonly lostModels: number;
  readonly leaderChange: number;
}

export const NO_FAULTS: Faults = {
  lostAnnouncement: 0,
  delayedAnnouncement: 0,
  lostOrder: 0,
  lostAnswer: 0,
  restart: 0,
  silence: 0,
  lostModels: 0,
  leaderChange: 0,
};

export const ALL_FAULTS: Faults = {
  lostAnnouncement: 0.1,
  delayedAnnouncement: 0.5,
  lostOrder: 0.1,
  lostAnswer: 0.15,
  restart: 0.01,
  silence: 0.02,
  lostModels: 0.02,
  leaderChange: 0.02,
};

export interface SimulationOptions {
  readonly seed: number;
  readonly faults: Faults;
  readonly servers: readonly fakeServer.FakeServer[];
  readonly configuration: protocol.configuration.Configuration;
  /**
   * How long a new leader waits for the orders of earlier ones to end; by
   * default the longest time that an order can take effect.
   */
  readonly earlierOrdersWaitMs?: number;
  /** Running requests that hosts report for a replica to be unloaded. */
  readonly runningRequestsOn?: placement.PlanInput["runningRequestsOn"];
}

/** Maximum delay before a host relays an announcement. */
const MAX_RELAY_DELAY_MS = 1_500;
/** Interval between planning rounds. */
const PLAN_INTERVAL_MS = 100;

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * Runs a leader's placement with fake servers on a simulated clock, and checks
 * the invariants of placement after each event.
 */
export class SimulatedCluster {
  nowMs = 0;
  readonly state = new state.State();
  readonly servers: readonly fakeServer.FakeServer[];
  placement: placement.Placement;
  /** Violated invariants, in order of occurrence. */
  readonly violations: string[] = [];
  readonly actions: placement.Action[] = [];
  readonly #options: SimulationOptions;
  readonly #random: () => number;
  #catalogue: state.Catalogue;
  readonly #demands = new Map<string, protocol.control.Demand>();
  #events: Event[] = [];
  #term = 0;
  #logIndex = 0;
  withdrawnFailureDomains = new Set<string>();

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = random.seededRandom(options.seed);
    this.#catalogue = new state.Catalogue(options.configuration);
    this.servers = options.servers;
    this.placement = this.#startTerm();
    for (const server of this.servers) {
      this.#schedule(Math.floor(this.#random() * 1_000), () => {
        this.#announce(server);
      });
    }
    this.#schedule(PLAN_INTERVAL_MS, () => this.#plan());
    this.#schedule(1_000, () => this.#injectFaults());
  }

  configure(configuration: protocol.configuration.Configuration): void {
    this.#catalogue = new state.Catalogue(configuration);
  }

  /** Sets the demand of a host, which is reported until it is set again. */
  setDemand(host: string, target: string, waiting: number, running = 0): void {
    const earliestDeadlineMs = 30_000;
    const demand = { target, waiting, running, earliestDeadlineMs };
    this.#demands.set(host, { ...demand, arrivals: waiting });
    this.#reportDemand();
  }

  /** Runs until `untilMs` or the first violation. */
  run(untilMs: number): void {
    while (this.violations.length === 0) {
      const next = this.#events[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.#events.shift();
      this.nowMs = next.atMs;
      next.run();
      this.#checkInvariants();
    }
    this.nowMs = Math.max(this.nowMs, untilMs);
  }

  /** Runs until the condition holds; false if `limitMs` passes before. */
  runUntil(condition: () => boolean, limitMs = 60_000): boolean {
    const endMs = this.nowMs + limitMs;
    while (!condition() && this.nowMs < endMs) this.run(this.nowMs + 50);
    return condition();
  }

  changeLeader(): void {
    this.placement = this.#startTerm();
  }

  /** Schedules a step of the test. */
  schedule(delayMs: number, run: () => void): void {
    this.#schedule(delayMs, run);
  }

  chance(probability: number): boolean {
    return this.#random() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random() * items.length)];
    if (item === undefined) {
      throw new RangeError("cannot pick from an empty list");
    }
    return item;
  }

  between(low: number, high: number): number {
    return Math.floor(low + this.#random() * (high - low));
  }

  #startTerm(): placement.Placement {
    this.#term++;
    const earlierOrdersWaitMs = this.#options.earlierOrdersWaitMs ??
      placement.MAX_ORDER_EXECUTION_MS + placement.MAX_ORDER_DELIVERY_MS;
    return new placement.Placement({
      sinceMs: this.nowMs,
      earlierOrdersEndMs: this.nowMs +
        (this.#term === 1 ? 0 : earlierOrdersWaitMs),
      lastInheritedIndex: this.#logIndex,
    });
  }

  #schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    const place = this.#events.findIndex((event) => event.atMs > atMs);
    const event = { atMs, run };
    if (place < 0) this.#events.push(event);
    else this.#events.splice(place, 0, event);
  }

  #announce(server: fakeServer.FakeServer): void {
    const { faults } = this.#options;
    const announcement = server.announce();
    if (
      server.silentUntilMs <= this.nowMs &&
      !this.chance(faults.lostAnnouncement)
    ) {
      const delayMs = this.chance(0.3) ? this.between(0, 1_900) : 2;
      const isDelayed = faults.delayedAnnouncement > 0 &&
        this.chance(faults.delayedAnnouncement);
      const relayMs = isDelayed ? this.between(0, MAX_RELAY_DELAY_MS) : 0;
      this.#schedule(delayMs + relayMs, () => {
        this.placement.recordAnnouncement(announcement, this.nowMs - relayMs);
      });
    }
    this.#schedule(1_000, () => this.#announce(server));
  }

  #reportDemand(): void {
    for (const [host, demand] of this.#demands) {
      this.placement.recordDemand(host, [demand], this.nowMs);
      this.#demands.set(host, { ...demand, arrivals: 0 });
    }
  }

  #plan(): void {
    const { runningRequestsOn } = this.#options;
    this.#reportDemand();
    const input = {
      nowMs: this.nowMs,
      catalogue: this.#catalogue,
      replicas: this.state.replicas(),
      withdrawnFailureDomains: this.withdrawnFailureDomains,
      ...(runningRequestsOn === undefined ? {} : { runningRequestsOn }),
    };
    for (const action of this.placement.plan(input)) {
      this.actions.push(action);
      if (action.kind === "order") this.#sendOrder(action);
      else this.#propose(action);
    }
    this.#schedule(PLAN_INTERVAL_MS, () => this.#plan());
  }

  #propose(action: placement.Proposal): void {
    const term = this.#term;
    this.#schedule(this.between(1, 30), () => {
      // A leader change discards entries that are not committed.
      if (term !== this.#term) return;
      const command = placement.commandOf(action);
      this.state.apply(++this.#logIndex, { timeMs: this.nowMs, command });
      this.placement.settleProposal(action);
    });
  }

  #sendOrder(action: placement.OrderAction): void {
    const { faults } = this.#options;
    const sender = this.placement;
    const recordAnswer = (result?: protocol.backend.OrderResult) => {
      if (sender === this.placement) {
        this.placement.recordOrderAnswer(action, result, this.nowMs);
      }
    };
    const server = this.servers.find(({ id }) => id === action.server);
    if (server === undefined) return;
    if (this.chance(faults.lostOrder)) {
      this.#schedule(500, () => recordAnswer());
      return;
    }
    const isDelayed = faults.lostAnswer > 0 && this.chance(0.3);
    const delayMs = isDelayed ? this.between(0, 2_000) : 1;
    const isAnswerLost = this.chance(faults.lostAnswer);
    if (isAnswerLost) {
      this.#schedule(this.between(1, 3_000), () => recordAnswer());
    }
    this.#schedule(delayMs, () => {
      const execution = server.execute(action.order, this.#random);
      this.#schedule(execution.durationMs, () => {
        const result = execution.complete();
        if (!isAnswerLost) this.#schedule(1, () => recordAnswer(result));
      });
    });
  }

  #injectFaults(): void {
    const { faults } = this.#options;
    for (const server of this.servers) {
      if (this.chance(faults.restart)) server.restart();
      if (this.chance(faults.lostModels)) server.dropLoadedModels();
      if (this.chance(faults.silence)) {
        server.silentUntilMs = this.nowMs + this.between(1_000, 20_000);
      }
    }
    if (this.chance(faults.leaderChange)) this.changeLeader();
    this.#schedule(1_000, () => this.#injectFaults());
  }

  #checkInvariants(): void {
    for (const server of this.servers) {
      if (server.usedBytes() > server.memoryBytes) {
        this.#recordViolation(
          server,
          "memory is overcommitted",
        );
      }
      for (const { model, version } of server.heldModels()) {
        const isDecided = this.state.replicas().some((replica) =>
          replica.server === server.id &&
          replica.incarnation === server.incarnation &&
          replica.model === model && replica.version === version
        );
        if (!isDecided) {
          this.#recordViolation(
            server,
            `${model} is not decided`,
          );
        }
      }
    }
  }

  #recordViolation(server: fakeServer.FakeServer, what: string): void {
    const { seed } = this.#options;
    const held = server.heldModels().map(({ model }) => model).join(" ");
    const where = `seed ${seed} at ${this.nowMs} ms, ${server.id}`;
    this.violations.push(`${where}: ${what} (holds ${held})`);
  }
}
