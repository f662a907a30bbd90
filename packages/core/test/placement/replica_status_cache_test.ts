import type * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as fc from "fast-check";
import * as fleets from "../../src/placement/fleet.ts";
import * as orders from "../../src/placement/orders.ts";
import * as placedIndex from "../../src/placement/placed_index.ts";
import * as status from "../../src/placement/status.ts";
import * as state from "../../src/state/mod.ts";

const RUNS = 1_000;
const SEED = 20261204;
const SERVERS = 3;
const MODELS = 3;
const LEADERSHIP = {
  sinceMs: 0,
  earlierOrdersEndMs: 3_000,
  lastInheritedIndex: 2,
};

const server = fc.nat(SERVERS - 1);
const model = fc.nat(MODELS - 1);
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant("plan" as const) }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("hear" as const),
      server,
      loaded: fc.subarray([0, 1, 2]),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("advance" as const),
      ms: fc.oneof(fc.nat(300), fc.nat(2_500), fc.nat(8_000)),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("decide" as const),
      server,
      model,
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constantFrom("order", "done", "done", "refused", "lost"),
      at: fc.nat(20),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom("unload", "unload", "forget"),
      at: fc.nat(20),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom("down", "restart"),
      server,
    }),
  },
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** What a leader knows of servers and orders. */
class Side {
  readonly fleet = new fleets.ServerRegistry();
  readonly orders = new orders.Orders(LEADERSHIP);
}

/** Two leaders that learn the same; only one of them keeps statuses. */
class Pair {
  readonly keeping = new Side();
  readonly fresh = new Side();
  readonly #index = new placedIndex.PlacedIndex();
  readonly #state = new state.State();
  readonly #incarnations = new Array<number>(SERVERS).fill(0);
  #logIndex = 0;
  #sequence = 0;
  #nowMs = 0;

  get #sides(): Side[] {
    return [this.keeping, this.fresh];
  }

  apply(one: Step): void {
    switch (one.kind) {
      case "plan":
        return this.#plan();
      case "hear":
        return this.#hear(one.server, one.loaded);
      case "advance":
        this.#nowMs += one.ms;
        return;
      case "decide":
        return this.#decide(one.server, one.model);
      case "down":
      case "restart":
        return this.#end(one.kind, one.server);
      case "order":
      case "done":
      case "refused":
      case "lost":
      case "unload":
      case "forget": {
        const replicas = this.#state.replicas();
        const replica = replicas[one.at % Math.max(1, replicas.length)];
        if (replica !== undefined) this.#change(one.kind, replica);
      }
    }
  }

  #plan(): void {
    const replicas = this.#state.replicas();
    const { fleet, orders } = this.keeping;
    orders.retain(replicas, this.#nowMs);
    this.#index.update(replicas, fleet, orders, this.#nowMs);
    // Copies are never the same decisions: everything is derived anew.
    const copies = replicas.map((replica) => ({ ...replica }));
    this.fresh.orders.retain(copies, this.#nowMs);
    const expected = copies.map((replica) => ({
      replica,
      server: this.fresh.fleet.incarnation(
        replica.server,
        replica.incarnation,
      ),
      status: status.statusOf(
        replica,
        this.fresh.fleet,
        this.fresh.orders,
        this.#nowMs,
      ),
    }));
    expect(this.#index.placed).to.deep.equal(expected);
    for (const { server, incarnation, model } of replicas) {
      expect(this.#index.on(server, incarnation)).to.deep.equal(
        expected.filter(({ replica }) =>
          replica.server === server && replica.incarnation === incarnation
        ),
      );
      expect(this.#index.of(model)).to.deep.equal(
        expected.filter(({ replica }) => replica.model === model),
      );
    }
  }

  #hear(server: number, loaded: readonly number[]): void {
    const announcement = this.#announcement(server, loaded);
    for (const { fleet } of this.#sides) {
      fleet.recordAnnouncement(announcement, this.#nowMs);
    }
  }

  #announcement(
    server: number,
    loaded: readonly number[],
  ): protocol.backend.Announcement {
    return {
      id: `s${server}`,
      incarnation: `i${this.#incarnations[server]}`,
      address: "http://127.0.0.1:1",
      failureDomain: "d1",
      kind: "engine",
      services: ["advice"],
      memoryBytes: 100,
      loaded: loaded.map((model) => ({
        model: `advice/m${model}`,
        version: "1",
        bytes: 1,
      })),
      cached: [],
      concurrency: 4,
      running: 0,
      queued: 0,
      checksFencing: true,
      leaving: false,
      sequence: ++this.#sequence,
    };
  }

  #decide(server: number, model: number): void {
    this.#commit({
      kind: "decide-replica",
      server: `s${server}`,
      incarnation: `i${this.#incarnations[server]}`,
      failureDomain: "d1",
      model: `advice/m${model}`,
      version: "1",
      bytes: 1,
      kvBytes: 0,
    });
  }

  #end(kind: "down" | "restart", server: number): void {
    const incarnation = `i${this.#incarnations[server]}`;
    if (kind === "restart") this.#incarnations[server]! += 1;
    for (const { fleet } of this.#sides) {
      fleet.markDown(`s${server}`, incarnation, this.#nowMs);
    }
  }

  #change(
    kind: "order" | "done" | "refused" | "lost" | "unload" | "forget",
    replica: state.Replica,
  ): void {
    switch (kind) {
      case "order":
        return this.#order(replica);
      case "done":
        return this.#answer(replica, { kind: "done" });
      case "refused":
        return this.#answer(replica, { kind: "refused", reason: "failed" });
      case "lost":
        return this.#answer(replica, undefined);
      case "unload":
        return this.#commit({
          kind: "decide-unload",
          replica: replica.index,
        });
      case "forget":
        return this.#commit({
          kind: "forget-replica",
          replica: replica.index,
          reason: "unloaded",
        });
    }
  }

  /** Orders as a round does: loads of pending, unloads of loaded replicas. */
  #order(replica: state.Replica): void {
    this.#plan();
    const { orders } = this.keeping;
    const shown = this.#index.placed
      .find((placed) => placed.replica === replica)?.status;
    const { unloadIndex } = replica;
    const isLoad = unloadIndex === undefined && shown?.kind === "pending";
    const isUnload = unloadIndex !== undefined && shown?.kind === "loaded" &&
      shown.settled;
    if (!isLoad && !isUnload) return;
    if (orders.track(replica).outstanding !== undefined) return;
    for (const side of this.#sides) {
      side.orders.send(replica, {
        kind: isLoad ? "load" : "unload",
        fence: unloadIndex ?? replica.index,
        place: "store",
        bytes: 1,
        expectedMs: 100,
        sentMs: this.#nowMs,
        endsMs: this.#nowMs + 4_000,
        lost: false,
      });
    }
  }

  #answer(
    { index, unloadIndex }: state.Replica,
    result: protocol.backend.OrderResult | undefined,
  ): void {
    for (const { orders } of this.#sides) {
      orders.end(index, unloadIndex ?? index, result, this.#nowMs);
    }
  }

  #commit(command: protocol.state.Command): void {
    this.#logIndex += 1;
    this.#state.apply(this.#logIndex, { timeMs: this.#nowMs, command });
  }
}

describe("statuses that are kept between rounds", () => {
  it(`equal those derived anew (${RUNS} runs, seed ${SEED})`, () => {
    const steps = fc.array(step, { minLength: 20, maxLength: 120 });
    fc.assert(
      fc.property(steps, (all) => {
        const pair = new Pair();
        for (const one of all) pair.apply(one);
        pair.apply({ kind: "plan" });
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
