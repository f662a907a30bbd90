import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as fleet from "./fleet.ts";
import * as ledger from "./ledger.ts";
import type * as orders from "./orders.ts";
import type * as placedIndex from "./placed_index.ts";
import type * as proposals from "./proposals.ts";
import type * as status from "./status.ts";
import * as types from "./types.ts";

export type { Placed } from "./placed_index.ts";

type Placed = placedIndex.Placed;

/** Memory kept free on a server for a model that waits for an eviction. */
export interface Reservation {
  readonly model: string;
  readonly server: string;
  readonly incarnation: string;
  readonly bytes: number;
  readonly untilMs: number;
}

/** Everything that one round of planning looks at. */
export class Scene {
  readonly facts: types.PlanInput;
  readonly placed: readonly Placed[];
  /** Servers that may get new replicas. */
  readonly usable: readonly fleet.AnnouncedServer[];
  readonly #servers: fleet.ServerRegistry;
  readonly #listed: fleet.AnnouncedServer[];
  readonly #index: placedIndex.PlacedIndex;
  readonly #orders: orders.Orders;
  /** Decisions that are proposed, with those of this round. */
  readonly #targets: types.ReplicaSpec[];
  /** Replicas whose unloading is proposed, with those of this round. */
  readonly #unloads: Set<number>;

  constructor(
    facts: types.PlanInput,
    servers: fleet.ServerRegistry,
    known: orders.Orders,
    pending: proposals.Proposals,
    index: placedIndex.PlacedIndex,
  ) {
    this.facts = facts;
    this.#servers = servers;
    this.#orders = known;
    this.#targets = pending.targets();
    this.#unloads = pending.unloads();
    this.#index = index;
    index.update(facts.replicas, servers, known, facts.nowMs);
    this.placed = index.placed;
    this.#listed = servers.list();
    this.usable = this.#listed.filter((server) => this.#isUsable(server));
  }

  get nowMs(): number {
    return this.facts.nowMs;
  }

  servers(): fleet.AnnouncedServer[] {
    return this.#listed;
  }

  serverOf(
    target: types.ReplicaSpec | state.Replica,
  ): fleet.AnnouncedServer | undefined {
    return this.#servers.incarnation(target.server, target.incarnation);
  }

  /** Counts a proposal of this round. */
  add(action: types.Action): void {
    if (action.kind === "unload") this.#unloads.add(action.replica);
    if (action.kind === "decide" || action.kind === "adopt") {
      this.#targets.push(action);
    }
  }

  /** Whether a replica is being unloaded, or is about to be. */
  isUnloading(replica: state.Replica): boolean {
    return replica.unloadIndex !== undefined ||
      this.#unloads.has(replica.index);
  }

  /** Replicas decided for the present incarnation of a server. */
  on(server: fleet.AnnouncedServer): readonly Placed[] {
    const { id, incarnation } = server.announcement;
    return this.#index.on(id, incarnation);
  }

  /** Replicas of a model or adapter, of all versions. */
  of(model: string): readonly Placed[] {
    return this.#index.of(model);
  }

  /** Proposed decisions of a model that are not committed. */
  proposed(model: string): types.ReplicaSpec[] {
    return this.#targets.filter((target) => target.model === model);
  }

  /** Proposed decisions for a server that are not committed. */
  proposedOn(server: fleet.AnnouncedServer): types.ReplicaSpec[] {
    const { id, incarnation } = server.announcement;
    return this.#targets.filter((target) =>
      target.server === id && target.incarnation === incarnation
    );
  }

  /** Bytes of a server that nothing is decided or proposed for. */
  freeBytes(server: fleet.AnnouncedServer): number {
    const { memoryBytes } = server.announcement;
    const replicas = this.on(server).map(({ replica }) => replica);
    const targets = this.proposedOn(server);
    const gone = this.#orders.forgottenOn(server);
    const committed = ledger.committedBytes(server, replicas, targets, gone);
    return memoryBytes - committed;
  }

  /** What is decided or proposed for a server incarnation. */
  decidedFor(
    id: string,
    incarnation: string,
  ): (types.ReplicaSpec | state.Replica)[] {
    const targets = this.#targets.filter((target) =>
      target.server === id && target.incarnation === incarnation
    );
    const placed = this.#index.on(id, incarnation);
    return [...placed.map(({ replica }) => replica), ...targets];
  }

  /** Whether a server holds a version of a model, or is about to. */
  holds(
    server: fleet.AnnouncedServer,
    model: string,
    version: string,
  ): boolean {
    return this.#isDecided(server, model, version) ||
      this.#isListed(server, model, version);
  }

  /**
   * Usable servers that hold the configured version of a model without a
   * decision. They are adopted as soon as their announcements are certainly
   * newer than the orders of earlier leaders.
   */
  undecidedHolders(model: string): fleet.AnnouncedServer[] {
    const version = this.versionOf(model);
    if (version === undefined) return [];
    return this.usable.filter((server) =>
      this.#isListed(server, model, version) &&
      !this.#isDecided(server, model, version)
    );
  }

  /** Decisions that are proposed and not committed. */
  targets(): readonly types.ReplicaSpec[] {
    return this.#targets;
  }

  /** Whether a replica serves demand now or will do so shortly. */
  isLive(placed: Placed): boolean {
    const { replica, status, server } = placed;
    if (this.isUnloading(replica) || !isPromising(status)) return false;
    if (server === undefined || !this.takesWork(server)) return false;
    return this.versionOf(replica.model) === replica.version;
  }

  /** The configured version of a model or an adapter. */
  versionOf(reference: string): string | undefined {
    const resolved = this.facts.catalogue.model(reference);
    return resolved?.adapter?.version ?? resolved?.model.version;
  }

  /** Whether a server is neither leaving nor in a withdrawn failure domain. */
  takesWork(server: fleet.AnnouncedServer): boolean {
    const { leaving, failureDomain } = server.announcement;
    return !leaving && !this.facts.withdrawnFailureDomains.has(failureDomain);
  }

  #isDecided(
    server: fleet.AnnouncedServer,
    model: string,
    version: string,
  ): boolean {
    const { id, incarnation } = server.announcement;
    return this.decidedFor(id, incarnation).some((item) =>
      item.model === model && item.version === version
    );
  }

  /** Whether a server lists what is not known to be gone since. */
  #isListed(
    server: fleet.AnnouncedServer,
    model: string,
    version: string,
  ): boolean {
    const name = types.modelVersionKey(model, version);
    return fleet.lists(server, model, version) &&
      !this.#orders.forgottenOn(server).has(name);
  }

  #isUsable(server: fleet.AnnouncedServer): boolean {
    return server.announcement.kind === "engine" && this.takesWork(server) &&
      fleet.isFresh(server, this.nowMs);
  }
}

/** Whether a server may hold the models of a service. */
export function serves(
  announcement: protocol.backend.Announcement,
  service: string,
): boolean {
  return announcement.services.includes(service);
}

/** Whether a replica is in memory or expected to be there shortly. */
function isPromising(shown: status.ReplicaStatus): boolean {
  switch (shown.kind) {
    case "pending":
    case "loading":
    case "loaded":
      return true;
    case "unknown":
      return shown.promising;
    default:
      return false;
  }
}
