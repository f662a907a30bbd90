import * as fc from "fast-check";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as crashSuspects from "../../src/gateway/entry/crash_suspects.ts";
import * as fleetView from "../../src/gateway/entry/fleet_view.ts";
import * as hostDrain from "../../src/gateway/entry/host_drain.ts";
import * as serverSelector from "../../src/gateway/entry/server_selector.ts";
import * as serverTracker from "../../src/gateway/entry/server_tracker.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

const SERVERS = ["s1", "s2", "s3"];
const SERVICE: gateway.Service = {
  name: "advice",
  maxConnections: 8,
  coldRequestsPerSecond: 0,
};

/** What happens to a server, or to what the host is told of it. */
type Step =
  | { readonly kind: "leaves" | "restarts"; readonly server: string }
  | {
    readonly kind: "closes" | "unreachable" | "reachable";
    readonly server: string;
  }
  /** The leader tells of all servers as ready, perhaps in a new term. */
  | { readonly kind: "told"; readonly isNewTerm: boolean };

const server = fc.constantFrom(...SERVERS);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom(
      "leaves" as const,
      "restarts" as const,
      "closes" as const,
      "unreachable" as const,
      "reachable" as const,
    ),
    server,
  }),
  fc.record({ kind: fc.constant("told" as const), isNewTerm: fc.boolean() }),
);

/** A selector, and what each server has said since its last start. */
class Model implements Disposable {
  readonly view = new fleetView.FleetView();
  readonly tracker = new serverTracker.ServerTracker(() => {});
  readonly selector: serverSelector.ServerSelector;
  readonly #births = new Map(SERVERS.map((id) => [id, 1]));
  /** Servers that want no requests, with what they have said. */
  readonly out = new Map<string, Set<string>>();
  #term = 1;
  #revision = 0;

  constructor() {
    this.selector = new serverSelector.ServerSelector({
      view: this.view,
      tracker: this.tracker,
      callers: { isReturning: () => false },
      borrower: { tryTake: () => true, want: () => {} },
      suspects: new crashSuspects.CrashSuspects({
        view: this.view,
        probe: () => Promise.resolve("silent"),
        onCrash: () => {},
        onNews: () => {},
      }),
      drain: new hostDrain.HostDrain(),
      onProbeDue: () => {},
      onQueued: () => {},
      onDequeued: () => {},
    });
    this.#tell();
  }

  [Symbol.dispose](): void {
    this.selector[Symbol.dispose]();
  }

  apply(step: Step): void {
    if (step.kind === "told") {
      if (step.isNewTerm) this.#term += 1;
      return this.#tell();
    }
    const { availability } = this.tracker;
    const record = this.#record(step.server);
    const said = this.out.get(step.server) ?? new Set();
    this.out.set(step.server, said);
    const now = performance.now();
    switch (step.kind) {
      case "leaves":
        availability.recordLeaving(record);
        said.add("leaves");
        break;
      case "closes":
        availability.recordClosed(record, 60_000, now, Math.random());
        said.add("closes");
        break;
      case "unreachable":
        availability.recordUnreachable(record, now);
        said.add("unreachable");
        break;
      case "reachable":
        availability.recordReachable(record);
        said.delete("unreachable");
        break;
      case "restarts":
        this.#births.set(step.server, record.born + 1);
        this.#tell();
        said.clear();
        break;
    }
  }

  /** Servers that may get requests. */
  usable(): string[] {
    return SERVERS.filter((id) => (this.out.get(id)?.size ?? 0) === 0);
  }

  async select(id: string): Promise<types.Selection> {
    const now = performance.now();
    return await this.selector.select({
      metadata: { ...EMPTY_METADATA, id },
      identity: identityOf(id),
      route: { name: "r", kind: "safe" },
      service: SERVICE,
      arrivedAt: now,
      deadline: now + 1_000,
      queueDeadline: now,
      priority: 1,
      signal: new AbortController().signal,
      failedServers: new Set(),
    } as unknown as types.RequestContext);
  }

  #record(id: string): gateway.ServerRecord {
    return fixtures.serverRecord(id, { born: this.#births.get(id) ?? 1 });
  }

  #tell(): void {
    this.#revision += 1;
    this.view.apply(
      fixtures.watchResponse({
        term: this.#term,
        revision: this.#revision,
        servers: SERVERS.map((id) => this.#record(id)),
      }),
      performance.now(),
    );
  }
}

describe("the selection of servers", () => {
  it("heeds what servers have said, through restarts, views and leaders", async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        using model = new Model();
        for (const [index, one] of steps.entries()) {
          model.apply(one);
          const usable = model.usable();
          const selected = await model.select(`r${index}`);
          if (selected.kind === "server") {
            expect(usable).to.include(selected.server.id);
          } else expect(usable).to.deep.equal([]);
        }
      }),
      { numRuns: 200 },
    );
  });
});
