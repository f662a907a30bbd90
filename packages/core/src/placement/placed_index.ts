import type * as state from "../state/mod.ts";
import type * as fleet from "./fleet.ts";
import type * as orders from "./orders.ts";
import * as status from "./status.ts";
import * as types from "./types.ts";

/** A replica with its status. */
export interface Placed {
  readonly replica: state.Replica;
  readonly status: status.ReplicaStatus;
  /** Its server, if it announces itself under the replica's incarnation. */
  readonly server: fleet.AnnouncedServer | undefined;
}

/** A replica whose status follows the announcements of its server. */
interface Kept extends Placed {
  status: status.ReplicaStatus;
  server: fleet.AnnouncedServer | undefined;
}

/** The replicas of one start of a server. */
interface Row {
  readonly server: string;
  readonly incarnation: string;
  readonly placed: Kept[];
  /** What the statuses were derived from. */
  seen: fleet.AnnouncedServer | undefined;
  /** Until then they change only with a new announcement. */
  steadyUntilMs: number;
}

/**
 * The decisions with their statuses, kept between rounds: a round derives anew
 * only what may have changed since the last one. In a large fleet nearly all
 * replicas are loaded and stay so.
 */
export class PlacedIndex {
  #replicas: readonly state.Replica[] = [];
  #placed: readonly Kept[] = [];
  #byServer = new Map<string, Row>();
  #byModel = new Map<string, Kept[]>();

  /** All decisions, in the order of the log. */
  get placed(): readonly Placed[] {
    return this.#placed;
  }

  /** Takes the decisions, and derives the statuses that may have changed. */
  update(
    replicas: readonly state.Replica[],
    servers: fleet.ServerRegistry,
    known: orders.Orders,
    nowMs: number,
  ): void {
    if (!areSame(this.#replicas, replicas)) this.#rebuild(replicas);
    for (const row of this.#byServer.values()) {
      const server = servers.incarnation(row.server, row.incarnation);
      const isKnown = server !== undefined && server === row.seen;
      if (isKnown && nowMs <= row.steadyUntilMs) continue;
      refresh(row, server, servers, known, nowMs);
    }
  }

  /** Replicas decided for one start of a server. */
  on(id: string, incarnation: string): readonly Placed[] {
    const name = types.incarnationKey({ server: id, incarnation });
    return this.#byServer.get(name)?.placed ?? [];
  }

  /** Replicas of a model or adapter, of all versions. */
  of(model: string): readonly Placed[] {
    return this.#byModel.get(model) ?? [];
  }

  #rebuild(replicas: readonly state.Replica[]): void {
    const before = this.#byServer;
    this.#replicas = replicas;
    this.#byServer = new Map();
    this.#byModel = new Map();
    this.#placed = replicas.map((replica) => {
      const placed: Kept = {
        replica,
        status: { kind: "pending" },
        server: undefined,
      };
      this.#rowOf(replica).placed.push(placed);
      const ofModel = this.#byModel.get(replica.model);
      if (ofModel === undefined) this.#byModel.set(replica.model, [placed]);
      else ofModel.push(placed);
      return placed;
    });
    for (const [name, row] of this.#byServer) carryOver(before.get(name), row);
  }

  #rowOf(replica: state.Replica): Row {
    const name = types.incarnationKey(replica);
    const known = this.#byServer.get(name);
    if (known !== undefined) return known;
    const { server, incarnation } = replica;
    const row: Row = {
      server,
      incarnation,
      placed: [],
      seen: undefined,
      steadyUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.#byServer.set(name, row);
    return row;
  }
}

/** Whether two lists hold the very same decisions. */
export function areSame(
  before: readonly state.Replica[],
  now: readonly state.Replica[],
): boolean {
  return before.length === now.length &&
    before.every((replica, index) => replica === now[index]);
}

/** Keeps the statuses of a server for which nothing was decided. */
function carryOver(before: Row | undefined, row: Row): void {
  if (before === undefined) return;
  const replicasOf = ({ placed }: Row) => placed.map(({ replica }) => replica);
  if (!areSame(replicasOf(before), replicasOf(row))) return;
  row.placed.forEach((placed, index) => {
    placed.status = before.placed[index]?.status ?? placed.status;
    placed.server = before.seen;
  });
  row.seen = before.seen;
  row.steadyUntilMs = before.steadyUntilMs;
}

function refresh(
  row: Row,
  server: fleet.AnnouncedServer | undefined,
  servers: fleet.ServerRegistry,
  known: orders.Orders,
  nowMs: number,
): void {
  for (const placed of row.placed) {
    placed.server = server;
    placed.status = status.statusOf(placed.replica, servers, known, nowMs);
  }
  const isSteady = row.placed.every(isSteadyReplica);
  row.seen = server;
  row.steadyUntilMs = server !== undefined && isSteady
    ? server.lastSeenMs + types.SILENCE_TIMEOUT_MS
    : Number.NEGATIVE_INFINITY;
}

/**
 * Whether neither an order nor time changes the status: a settled replica has
 * no load under way, and without a decision no unload is ordered.
 */
function isSteadyReplica({ replica, status }: Placed): boolean {
  return status.kind === "loaded" && status.settled &&
    replica.unloadIndex === undefined;
}
