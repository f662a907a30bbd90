import type * as protocol from "@ebonypath/protocol";
import * as placement from "../../src/placement/mod.ts";
import * as state from "../../src/state/mod.ts";
import * as random from "../random.ts";
import * as servers from "./fake_server.ts";

/** Which faults a world provokes, as chances per second or per message. */
export interface Faults {
  readonly lostAnnouncement: number;
  /** Announcements that a host holds before it passes them on. */
  readonly heldAnnouncement: number;
  readonly lostOrder: number;
  readonly lostAnswer: number;
  readonly restart: number;
  readonly silence: number;
  readonly turnCold: number;
  readonly leaderChange: number;
}

export const NO_FAULTS: Faults = {
  lostAnnouncement: 0,
  heldAnnouncement: 0,
  lostOrder: 0,
  lostAnswer: 0,
  restart: 0,
  silence: 0,
  turnCold: 0,
  leaderChange: 0,
};

export const ALL_FAULTS: Faults = {
  lostAnnouncement: 0.1,
  heldAnnouncement: 0.5,
  lostOrder: 0.1,
  lostAnswer: 0.15,
  restart: 0.01,
  silence: 0.02,
  turnCold: 0.02,
  leaderChange: 0.02,
};

export interface Options {
  readonly seed: number;
  readonly faults: Faults;
  readonly servers: readonly servers.FakeServer[];
  readonly configuration: protocol.configuration.Configuration;
  /** How long a new leader waits out earlier orders. */
  readonly waitOutMs?: number;
  /** What hosts say of a replica that is to be unloaded. */
  readonly runningRequestsOn?: placement.PlanInput["runningRequestsOn"];
}

/** Longest time for which a host holds an announcement. */
const LONGEST_HELD_MS = 1_500;
/** Time between two rounds of planning. */
const TICK_MS = 100;

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** A leader's placement with fake servers, on one simulated clock. */
export class World {
  nowMs = 0;
  readonly state = new state.State();
  readonly servers: readonly servers.FakeServer[];
  placement: placement.Placement;
  /** Faults against the promises, the first one first. */
  readonly violations: string[] = [];
  readonly actions: placement.Action[] = [];
  readonly #options: Options;
  readonly #random: () => number;
  #catalogue: state.Catalogue;
  readonly #demands = new Map<string, protocol.control.Demand>();
  #events: Event[] = [];
  #term = 0;
  #index = 0;
  withdrawn = new Set<string>();

  constructor(options: Options) {
    this.#options = options;
    this.#random = random.seededRandom(options.seed);
    this.#catalogue = new state.Catalogue(options.configuration);
    this.servers = options.servers;
    this.placement = this.#lead();
    for (const server of this.servers) {
      this.#after(Math.floor(this.#random() * 1_000), () => {
        this.#announce(server);
      });
    }
    this.#after(TICK_MS, () => this.#tick());
    this.#after(1_000, () => this.#disturb());
  }

  configure(configuration: protocol.configuration.Configuration): void {
    this.#catalogue = new state.Catalogue(configuration);
  }

  /** Sets what a host wants; it is reported until it is set again. */
  demand(host: string, target: string, waiting: number, running = 0): void {
    const earliestDeadlineMs = 30_000;
    const demand = { target, waiting, running, earliestDeadlineMs };
    this.#demands.set(host, { ...demand, arrivals: waiting });
    this.#report();
  }

  /** Runs until `untilMs`; stops at the first violation. */
  run(untilMs: number): void {
    while (this.violations.length === 0) {
      const next = this.#events[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.#events.shift();
      this.nowMs = next.atMs;
      next.run();
      this.#check();
    }
    this.nowMs = Math.max(this.nowMs, untilMs);
  }

  /** Runs until the condition holds; false if it does not in time. */
  runUntil(condition: () => boolean, limitMs = 60_000): boolean {
    const endMs = this.nowMs + limitMs;
    while (!condition() && this.nowMs < endMs) this.run(this.nowMs + 50);
    return condition();
  }

  changeLeader(): void {
    this.placement = this.#lead();
  }

  /** Runs a step of the test at a later time. */
  at(delayMs: number, run: () => void): void {
    this.#after(delayMs, run);
  }

  chance(probability: number): boolean {
    return this.#random() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random() * items.length)];
    if (item === undefined) throw new RangeError("nothing to pick from");
    return item;
  }

  between(low: number, high: number): number {
    return Math.floor(low + this.#random() * (high - low));
  }

  #lead(): placement.Placement {
    this.#term++;
    const waitOutMs = this.#options.waitOutMs ??
      placement.MAX_ORDER_EXECUTION_MS + placement.MAX_ORDER_DELIVERY_MS;
    return new placement.Placement({
      sinceMs: this.nowMs,
      earlierOrdersEndMs: this.nowMs + (this.#term === 1 ? 0 : waitOutMs),
      lastInheritedIndex: this.#index,
    });
  }

  #after(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    const place = this.#events.findIndex((event) => event.atMs > atMs);
    const event = { atMs, run };
    if (place < 0) this.#events.push(event);
    else this.#events.splice(place, 0, event);
  }

  #announce(server: servers.FakeServer): void {
    const { faults } = this.#options;
    const announcement = server.announce();
    if (
      server.silentUntilMs <= this.nowMs &&
      !this.chance(faults.lostAnnouncement)
    ) {
      const delayMs = this.chance(0.3) ? this.between(0, 1_900) : 2;
      const isHeld = faults.heldAnnouncement > 0 &&
        this.chance(faults.heldAnnouncement);
      const heldMs = isHeld ? this.between(0, LONGEST_HELD_MS) : 0;
      this.#after(delayMs + heldMs, () => {
        this.placement.recordAnnouncement(announcement, this.nowMs - heldMs);
      });
    }
    this.#after(1_000, () => this.#announce(server));
  }

  #report(): void {
    for (const [host, demand] of this.#demands) {
      this.placement.recordDemand(host, [demand], this.nowMs);
      this.#demands.set(host, { ...demand, arrivals: 0 });
    }
  }

  #tick(): void {
    const { runningRequestsOn } = this.#options;
    this.#report();
    const facts = {
      nowMs: this.nowMs,
      catalogue: this.#catalogue,
      replicas: this.state.replicas(),
      withdrawnFailureDomains: this.withdrawn,
      ...(runningRequestsOn === undefined ? {} : { runningRequestsOn }),
    };
    for (const action of this.placement.plan(facts)) {
      this.actions.push(action);
      if (action.kind === "order") this.#order(action);
      else this.#propose(action);
    }
    this.#after(TICK_MS, () => this.#tick());
  }

  #propose(action: placement.Proposal): void {
    const term = this.#term;
    this.#after(this.between(1, 30), () => {
      // Entries of an earlier leader are lost unless they were committed.
      if (term !== this.#term) return;
      const command = placement.commandOf(action);
      this.state.apply(++this.#index, { timeMs: this.nowMs, command });
      this.placement.settleProposal(action);
    });
  }

  #order(sent: placement.OrderAction): void {
    const { faults } = this.#options;
    const from = this.placement;
    const answer = (result?: protocol.backend.OrderResult) => {
      if (from === this.placement) {
        this.placement.recordOrderAnswer(sent, result, this.nowMs);
      }
    };
    const server = this.servers.find(({ id }) => id === sent.server);
    if (server === undefined) return;
    if (this.chance(faults.lostOrder)) {
      this.#after(500, () => answer());
      return;
    }
    const isLate = faults.lostAnswer > 0 && this.chance(0.3);
    const delayMs = isLate ? this.between(0, 2_000) : 1;
    const isAnswerLost = this.chance(faults.lostAnswer);
    if (isAnswerLost) this.#after(this.between(1, 3_000), () => answer());
    this.#after(delayMs, () => {
      const outcome = server.receive(sent.order, this.#random);
      this.#after(outcome.durationMs, () => {
        const result = outcome.complete();
        if (!isAnswerLost) this.#after(1, () => answer(result));
      });
    });
  }

  #disturb(): void {
    const { faults } = this.#options;
    for (const server of this.servers) {
      if (this.chance(faults.restart)) server.restart();
      if (this.chance(faults.turnCold)) server.turnCold();
      if (this.chance(faults.silence)) {
        server.silentUntilMs = this.nowMs + this.between(1_000, 20_000);
      }
    }
    if (this.chance(faults.leaderChange)) this.changeLeader();
    this.#after(1_000, () => this.#disturb());
  }

  #check(): void {
    for (const server of this.servers) {
      if (server.usedBytes() > server.memoryBytes) {
        this.#violate(server, "memory is overcommitted");
      }
      for (const { model, version } of server.held()) {
        const isDecided = this.state.replicas().some((replica) =>
          replica.server === server.id &&
          replica.incarnation === server.incarnation &&
          replica.model === model && replica.version === version
        );
        if (!isDecided) this.#violate(server, `${model} is not decided`);
      }
    }
  }

  #violate(server: servers.FakeServer, what: string): void {
    const { seed } = this.#options;
    const held = server.held().map(({ model }) => model).join(" ");
    const where = `seed ${seed} at ${this.nowMs} ms, ${server.id}`;
    this.violations.push(`${where}: ${what} (holds ${held})`);
  }
}
