import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as fleet from "./fleet.ts";
import * as forgotten from "./forgotten.ts";
import * as placedIndex from "./placed_index.ts";
import * as tracks from "./track.ts";
import * as types from "./types.ts";

/** When this leader began, and what it has to wait out. */
export interface Leadership {
  /** Monotonic time at which it began, in milliseconds. */
  readonly sinceMs: number;
  /** Time until which orders of earlier leaders may still take effect. */
  readonly earlierOrdersEndMs: number;
  /** Decisions up to this log index are from earlier leaders. */
  readonly lastInheritedIndex: number;
}

/** Orders of this leader and their known effects, by replica. */
export class Orders {
  readonly #leadership: Leadership;
  readonly #tracks = new Map<number, tracks.Track>();
  /** Highest fence sent, by server and incarnation. */
  readonly #fences = new Map<string, number>();
  readonly #forgotten = new forgotten.Forgotten();
  /** The decisions for which tracks were retained last. */
  #retained: readonly state.Replica[] = [];

  constructor(leadership: Leadership) {
    this.#leadership = leadership;
  }

  /** The track of a replica; it exists as long as the decision. */
  track(replica: state.Replica): tracks.Track {
    const known = this.#tracks.get(replica.index);
    if (known !== undefined) return known;
    const settledMs = this.isInherited(replica)
      ? this.#leadership.earlierOrdersEndMs
      : this.#leadership.sinceMs;
    const track = tracks.create(replica, settledMs);
    this.#tracks.set(replica.index, track);
    return track;
  }

  /** Whether the decision is from an earlier leader. */
  isInherited(replica: state.Replica): boolean {
    return replica.index <= this.#leadership.lastInheritedIndex;
  }

  /** Drops what is known about replicas that are no longer decided. */
  retain(replicas: readonly state.Replica[], nowMs: number): void {
    this.#forgotten.expire(nowMs);
    if (placedIndex.areSame(this.#retained, replicas)) return;
    this.#retained = replicas;
    const kept = new Set(replicas.map(({ index }) => index));
    for (const [index, track] of this.#tracks) {
      if (kept.has(index)) continue;
      this.#tracks.delete(index);
      this.#forgotten.add(track.replica, nowMs);
    }
    const incarnations = new Set(replicas.map(types.incarnationKey));
    for (const name of this.#fences.keys()) {
      if (!incarnations.has(name)) this.#fences.delete(name);
    }
  }

  /** Names that a server may announce although they were unloaded. */
  forgottenOn(server: fleet.AnnouncedServer): ReadonlySet<string> {
    return this.#forgotten.on(server);
  }

  /** Whether a server that checks fencing would refuse this fence. */
  isStaleFence(replica: state.Replica, fence: number): boolean {
    if (fence <= this.track(replica).staleFence) return true;
    return fence < (this.#fences.get(types.incarnationKey(replica)) ?? 0);
  }

  /** Whether orders of earlier leaders take effect no more. */
  areEarlierOver(nowMs: number): boolean {
    return nowMs >= this.#leadership.earlierOrdersEndMs;
  }

  /** When this leader began. */
  get sinceMs(): number {
    return this.#leadership.sinceMs;
  }

  /** Records an order that is about to be sent. */
  send(replica: state.Replica, outstanding: tracks.Outstanding): void {
    tracks.send(this.track(replica), outstanding);
    const name = types.incarnationKey(replica);
    const highest = this.#fences.get(name) ?? 0;
    this.#fences.set(name, Math.max(highest, outstanding.fence));
  }

  /**
   * Records the answer to the order for a replica, or that it was lost.
   * Returns the order when the answer says that a load is complete.
   */
  end(
    replica: number,
    fence: number,
    result: protocol.backend.OrderResult | undefined,
    nowMs: number,
  ): tracks.Outstanding | undefined {
    const track = this.#tracks.get(replica);
    const outstanding = track?.outstanding;
    if (track === undefined || outstanding?.fence !== fence) return undefined;
    if (result === undefined) {
      track.outstanding = { ...outstanding, lost: true };
      return undefined;
    }
    if (!tracks.isLoad(outstanding.kind)) {
      tracks.endUnload(track, fence, result, nowMs);
      return undefined;
    }
    tracks.endLoad(track, result, nowMs);
    return result.kind === "done" ? outstanding : undefined;
  }

  /** Learns from the newest announcement of the replica's incarnation. */
  observe(
    replica: state.Replica,
    server: fleet.AnnouncedServer,
    nowMs: number,
  ): void {
    const track = this.track(replica);
    tracks.expire(track, nowMs);
    const { lastSeenMs: heardMs } = server;
    const isShown = fleet.lists(server, replica.model, replica.version) &&
      heardMs >= this.#provenFromMs(replica, track);
    if (isShown) tracks.prove(track, heardMs);
  }

  /**
   * Time from which an announcement that lists the model shows the effect of
   * the load order, and not an earlier replica of the same model.
   */
  #provenFromMs(replica: state.Replica, track: tracks.Track): number {
    return this.#loadSentMs(replica, track) + types.MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /** A time at or after the sending of the load; infinite if none was sent. */
  #loadSentMs(replica: state.Replica, track: tracks.Track): number {
    const load = tracks.outstandingLoad(track);
    if (load !== undefined) return load.sentMs;
    if (track.answeredLoaded) return track.settledMs ?? Infinity;
    return this.isInherited(replica) ? this.#leadership.sinceMs : Infinity;
  }
}
