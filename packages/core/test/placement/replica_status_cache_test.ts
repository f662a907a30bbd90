import type * as protocol from "@ebonypath/protocol";
import { expect } from "chai";
import * as fc from "fast-check";
import * as announcedServers from "../../src/placement/announced_servers.ts";
import * as orderTracker from "../../src/placement/order_tracker.ts";
import * as replicaStatusCache from "../../src/placement/replica_status_cache.ts";
import * as replicaStatus from "../../src/placement/replica_status.ts";
import * as state from "../../src/state/mod.ts";

const RUNS = 1_000;
const SEED = 20261204;
const SERVERS = 3;
const MODELS = 3;
const LEADERSHIP_BOUNDS = {
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

/** A leader's announced servers and order tracker. */
class LeaderState {
  readonly servers = new announcedServers.AnnouncedServers();
  readonly tracker = new orderTracker.OrderTracker(LEADERSHIP_BOUNDS);
}

/**
 * Two leaders with the same events. One caches statuses between rounds, the
 * other derives them again in each round.
 */
class LeaderPair {
  readonly cached = new LeaderState();
  readonly fresh = new LeaderState();
  readonly #cache = new replicaStatusCache.ReplicaStatusCache();
  readonly #state = new state.StateMachine();
  readonly #incarnations = new Array<number>(SERVERS).fill(0);
  #logIndex = 0;
  #sequence = 0;
  #nowMs = 0;

  get #leaders(): LeaderState[] {
    return [this.cached, this.fresh];
  }

  apply(event: Step): void {
    switch (event.kind) {
      case "plan":
        return this.#plan();
      case "hear":
        return this.#announce(event.server, event.loaded);
      case "advance":
        this.#nowMs += event.ms;
        return;
      case "decide":
        return this.#decide(event.server, event.model);
      case "down":
      case "restart":
        return this.#endIncarnation(event.kind, event.server);
      case "order":
      case "done":
      case "refused":
      case "lost":
      case "unload":
      case "forget": {
        const replicas = this.#state.replicas();
        const replica = replicas[event.at % Math.max(1, replicas.length)];
        if (replica !== undefined) this.#changeReplica(event.kind, replica);
      }
    }
  }

  #plan(): void {
    const replicas = this.#state.replicas();
    const { servers, tracker } = this.cached;
    tracker.retain(replicas, this.#nowMs);
    this.#cache.update(replicas, servers, tracker, this.#nowMs);
    // Copies are never identical to earlier decisions, so nothing is reused.
    const copies = replicas.map((replica) => ({ ...replica }));
    this.fresh.tracker.retain(copies, this.#nowMs);
    const expected = copies.map((replica) => ({
      replica,
      server: this.fresh.servers.getIncarnation(
        replica.server,
        replica.incarnation,
      ),
      status: replicaStatus.deriveStatus(
        replica,
        this.fresh.servers,
        this.fresh.tracker,
        this.#nowMs,
      ),
    }));
    expect(this.#cache.placed).to.deep.equal(expected);
    for (const { server, incarnation, model } of replicas) {
      expect(this.#cache.onIncarnation(server, incarnation)).to.deep.equal(
        expected.filter(({ replica }) =>
          replica.server === server && replica.incarnation === incarnation
        ),
      );
      expect(this.#cache.ofModel(model)).to.deep.equal(
        expected.filter(({ replica }) => replica.model === model),
      );
    }
  }

  #announce(server: number, loaded: readonly number[]): void {
    const announcement = this.#announcement(server, loaded);
    for (const { servers } of this.#leaders) {
      servers.recordAnnouncement(announcement, this.#nowMs);
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

  #endIncarnation(kind: "down" | "restart", server: number): void {
    const incarnation = `i${this.#incarnations[server]}`;
    if (kind === "restart") this.#incarnations[server]! += 1;
    for (const { servers } of this.#leaders) {
      servers.markDown(`s${server}`, incarnation, this.#nowMs);
    }
  }

  #changeReplica(
    kind: "order" | "done" | "refused" | "lost" | "unload" | "forget",
    replica: state.Replica,
  ): void {
    switch (kind) {
      case "order":
        return this.#sendOrder(replica);
      case "done":
        return this.#recordAnswer(replica, { kind: "done" });
      case "refused":
        return this.#recordAnswer(replica, {
          kind: "refused",
          reason: "failed",
        });
      case "lost":
        return this.#recordAnswer(replica, undefined);
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

  /** Sends the order that a planning round would send for the replica. */
  #sendOrder(replica: state.Replica): void {
    this.#plan();
    const { tracker } = this.cached;
    const status = this.#cache.placed
      .find((placed) => placed.replica === replica)?.status;
    const { unloadIndex } = replica;
    const isLoad = unloadIndex === undefined && status?.kind === "pending";
    const isUnload = unloadIndex !== undefined && status?.kind === "loaded" &&
      status.settled;
    if (!isLoad && !isUnload) return;
    if (tracker.stateOf(replica).outstanding !== undefined) return;
    for (const leader of this.#leaders) {
      leader.tracker.recordSent(replica, {
        kind: isLoad ? "load" : "unload",
        fence: unloadIndex ?? replica.index,
        source: "store",
        bytes: 1,
        expectedMs: 100,
        sentMs: this.#nowMs,
        expiresMs: this.#nowMs + 4_000,
        answerLost: false,
      });
    }
  }

  #recordAnswer(
    { index, unloadIndex }: state.Replica,
    result: protocol.backend.OrderResult | undefined,
  ): void {
    for (const { tracker } of this.#leaders) {
      tracker.recordAnswer(index, unloadIndex ?? index, result, this.#nowMs);
    }
  }

  #commit(command: protocol.state.Command): void {
    this.#logIndex += 1;
    this.#state.apply(this.#logIndex, { timeMs: this.#nowMs, command });
  }
}

describe("ReplicaStatusCache", () => {
  it(`returns the same statuses as a new derivation (${RUNS} runs, seed ${SEED})`, () => {
    const steps = fc.array(step, { minLength: 20, maxLength: 120 });
    fc.assert(
      fc.property(steps, (events) => {
        const pair = new LeaderPair();
        for (const event of events) pair.apply(event);
        pair.apply({ kind: "plan" });
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
