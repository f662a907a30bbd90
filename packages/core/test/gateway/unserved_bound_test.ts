import { expect } from "chai";
import * as core from "../../src/gateway/mod.ts";
import * as fixtures from "./fixtures.ts";

const ROUND_MS = 250;
const LOAD_MS = 2_000;
const POPULAR = Array.from({ length: 14 }, (_, index) => `popular${index}`);
const RARE = ["rare0", "rare1", "rare2", "rare3"];
const MODELS = [...POPULAR, ...RARE];

/** A server with copies of all models, on whose disk each load takes 2 s. */
class Server {
  readonly id: string;
  held: string[];
  loading: string | undefined;
  readyAt = 0;

  constructor(id: string, held: string[]) {
    this.id = id;
    this.held = held;
  }

  advance(now: number): void {
    if (this.loading === undefined || now < this.readyAt) return;
    this.held.push(this.loading);
    this.loading = undefined;
  }

  execute({ kind, model }: core.ModelOrder, now: number): void {
    if (kind === "unload") this.held = this.held.filter((one) => one !== model);
    if (kind !== "load") return;
    this.loading = model;
    this.readyAt = now + LOAD_MS;
  }

  view(now: number): core.PlannerServer {
    return fixtures.server({
      id: this.id,
      models: this.held.map((name) => fixtures.heldModel(name)),
      loading: this.loading,
      busyMs: this.loading === undefined ? 0 : this.readyAt - now,
      onDisk: new Set(MODELS),
      // Requests for the models that it holds come and go.
      running: new Map(
        this.held.map((name) => [name, now % (2 * ROUND_MS) === 0 ? 1 : 0]),
      ),
    });
  }
}

/** Times at which each rare model is first held, in milliseconds. */
function firstHeld(untilMs: number): Map<string, number> {
  const servers = [0, 1, 2, 3].map((index) =>
    new Server(`s${index}`, POPULAR.slice(index * 3, index * 3 + 3))
  );
  const unserved = new core.UnservedModels();
  const heldAt = new Map<string, number>();
  for (let now = 0; now <= untilMs; now += ROUND_MS) {
    for (const server of servers) server.advance(now);
    const held = new Set(servers.flatMap((server) => server.held));
    for (const name of RARE) {
      if (held.has(name) && !heldAt.has(name)) heldAt.set(name, now);
    }
    // Popular models have waiting requests; callers of rare ones were refused.
    const demand = MODELS.filter((name) => !held.has(name)).map((model) =>
      fixtures.demand({
        model,
        slacksMs: RARE.includes(model) ? [] : [500, 500, 500],
      })
    );
    const views = servers.map((server) => server.view(now));
    const requestedAt = new Map(MODELS.map((name) => [name, now]));
    unserved.update(demand, views, requestedAt, now);
    const { orders } = core.planRound(fixtures.input({
      engine: fixtures.engine(MODELS),
      servers: views,
      demand,
      unservedMs: unserved.ages(now),
      lastRequestedAt: requestedAt,
      now,
    }));
    for (const order of orders) {
      servers.find(({ id }) => id === order.server)?.execute(order, now);
    }
  }
  return heldAt;
}

describe("gateway load planner, under more demand than servers can hold", () => {
  it("loads every rare model within the bound on its age", () => {
    // Each waits for the others, and for the popular ones that aren't held
    // either, on the one server of four that such models get. An unload goes
    // before each load.
    const places = 12;
    const models = RARE.length + POPULAR.length - places;
    const boundMs = 8_000 + models * (LOAD_MS + 2 * ROUND_MS);
    const heldAt = firstHeld(boundMs);
    expect([...heldAt.keys()].toSorted()).to.deep.equal(RARE);
  });
});
