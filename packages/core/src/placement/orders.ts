import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as fleet from "./fleet.ts";
import * as forgotten from "./forgotten.ts";
import * as types from "./types.ts";

/** When this leader began, and what it has to wait out. */
export interface Leadership {
  /** Monotonic time at which it began, in milliseconds. */
  readonly sinceMs: number;
  /** Time until which orders of earlier leaders may still take effect. */
  readonly ordersAllowedFromMs: number;
  /** Decisions up to this log index are from earlier leaders. */
  readonly inheritedUpTo: number;
}

/** An order whose effect is not known yet. */
export interface Outstanding {
  readonly kind: protocol.backend.Order["kind"];
  readonly fence: number;
  readonly place: types.Place;
  readonly bytes: number;
  readonly expectedMs: number;
  readonly sentMs: number;
  /** The server has given it up by then. */
  readonly endsMs: number;
  /** Its answer was lost. */
  readonly lost: boolean;
}

/** What this leader knows about one replica beyond the committed decision. */
export interface Track {
  readonly replica: state.Replica;
  /** Set while an order may still take effect. */
  outstanding: Outstanding | undefined;
  /** Whether this leader has sent a load. */
  ordered: boolean;
  /**
   * Announcements made from here on show the effect of every load order;
   * undefined while one may still take effect at an unknown time.
   */
  settledMs: number | undefined;
  /** The server answered that the load is complete. */
  answeredLoaded: boolean;
  /** The server refused the load. */
  refused: boolean;
  /** The server answered that the replica is not loaded any more. */
  answeredUnloaded: boolean;
  /** An announcement has shown the effect of the load order. */
  proven: boolean;
  /** When the decision to unload was seen first. */
  unloadSeenMs: number | undefined;
  /** No order is sent before this time. */
  notBeforeMs: number;
  /** The server refused an unload with this fence as too old. */
  staleFence: number;
}

/** Pause after a failed unload, in milliseconds. */
const RETRY_MS = 1_000;

/** Orders of this leader and their known effects, by replica. */
export class Orders {
  readonly #leadership: Leadership;
  readonly #tracks = new Map<number, Track>();
  /** Highest fence sent, by server and incarnation. */
  readonly #fences = new Map<string, number>();
  readonly #forgotten = new forgotten.Forgotten();

  constructor(leadership: Leadership) {
    this.#leadership = leadership;
  }

  /** The track of a replica; it exists as long as the decision. */
  track(replica: state.Replica): Track {
    const known = this.#tracks.get(replica.index);
    if (known !== undefined) return known;
    const inherited = replica.index <= this.#leadership.inheritedUpTo;
    const track: Track = {
      replica,
      outstanding: undefined,
      ordered: false,
      settledMs: inherited
        ? this.#leadership.ordersAllowedFromMs
        : this.#leadership.sinceMs,
      answeredLoaded: false,
      refused: false,
      answeredUnloaded: false,
      proven: false,
      unloadSeenMs: undefined,
      notBeforeMs: 0,
      staleFence: 0,
    };
    this.#tracks.set(replica.index, track);
    return track;
  }

  /** Whether the decision is from an earlier leader. */
  isInherited(replica: state.Replica): boolean {
    return replica.index <= this.#leadership.inheritedUpTo;
  }

  /** Drops what is known about replicas that are no longer decided. */
  retain(replicas: readonly state.Replica[], nowMs: number): void {
    const kept = new Set(replicas.map(({ index }) => index));
    for (const [index, track] of this.#tracks) {
      if (kept.has(index)) continue;
      this.#tracks.delete(index);
      this.#forgotten.add(track.replica, nowMs);
    }
    this.#forgotten.expire(nowMs);
    const incarnations = new Set(replicas.map(types.incarnationName));
    for (const name of this.#fences.keys()) {
      if (!incarnations.has(name)) this.#fences.delete(name);
    }
  }

  /** Names that a server may announce although they were unloaded. */
  forgottenOn(server: fleet.Server): ReadonlySet<string> {
    return this.#forgotten.on(server);
  }

  /** Whether a server that checks fencing would refuse this fence. */
  isStaleFence(replica: state.Replica, fence: number): boolean {
    if (fence <= this.track(replica).staleFence) return true;
    return fence < (this.#fences.get(types.incarnationName(replica)) ?? 0);
  }

  /** Whether orders of earlier leaders take effect no more. */
  areEarlierOver(nowMs: number): boolean {
    return nowMs >= this.#leadership.ordersAllowedFromMs;
  }

  /** When this leader began. */
  get sinceMs(): number {
    return this.#leadership.sinceMs;
  }

  /** Records an order that is about to be sent. */
  send(replica: state.Replica, outstanding: Outstanding): void {
    const track = this.track(replica);
    track.outstanding = outstanding;
    if (isLoad(outstanding.kind)) {
      track.ordered = true;
      track.settledMs = undefined;
    }
    const name = types.incarnationName(replica);
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
  ): Outstanding | undefined {
    const track = this.#tracks.get(replica);
    const outstanding = track?.outstanding;
    if (track === undefined || outstanding?.fence !== fence) return undefined;
    if (result === undefined) {
      track.outstanding = { ...outstanding, lost: true };
      return undefined;
    }
    track.outstanding = undefined;
    if (!isLoad(outstanding.kind)) {
      endUnload(track, outstanding.fence, result, nowMs);
      return undefined;
    }
    if (result.kind === "done") {
      track.settledMs = nowMs;
      track.answeredLoaded = true;
      return outstanding;
    }
    track.settledMs = nowMs;
    track.refused = true;
    return undefined;
  }

  /** Learns from the newest announcement of the replica's incarnation. */
  observe(replica: state.Replica, server: fleet.Server, nowMs: number): void {
    const track = this.track(replica);
    this.#expire(track, nowMs);
    const isListed = fleet.lists(server, replica.model, replica.version);
    if (!isListed) return;
    if (this.#provesLoad(replica, track, server.heardMs)) {
      if (track.outstanding !== undefined && isLoad(track.outstanding.kind)) {
        track.outstanding = undefined;
      }
      track.settledMs ??= server.heardMs;
      track.settledMs = Math.min(track.settledMs, server.heardMs);
      track.proven = true;
    }
  }

  /**
   * Whether an announcement heard at `heardMs` that lists the model shows the
   * effect of the load order, and not an earlier replica of the same model.
   */
  #provesLoad(
    replica: state.Replica,
    track: Track,
    heardMs: number,
  ): boolean {
    const sentMs = track.outstanding !== undefined &&
        isLoad(track.outstanding.kind)
      ? track.outstanding.sentMs
      : track.answeredLoaded
      ? track.settledMs
      : undefined;
    const fromMs = sentMs ??
      (this.isInherited(replica) ? this.#leadership.sinceMs : undefined);
    if (fromMs === undefined) return false;
    return heardMs >= fromMs + types.ANNOUNCEMENT_DELAY_MS;
  }

  /** An order past its end takes effect no more. */
  #expire(track: Track, nowMs: number): void {
    const outstanding = track.outstanding;
    if (outstanding === undefined || nowMs < outstanding.endsMs) return;
    track.outstanding = undefined;
    if (isLoad(outstanding.kind)) track.settledMs = outstanding.endsMs;
    else track.notBeforeMs = outstanding.endsMs + types.ANNOUNCEMENT_DELAY_MS;
  }
}

/** Whether an order brings something into memory. */
export function isLoad(kind: protocol.backend.Order["kind"]): boolean {
  return kind === "load" || kind === "load-adapter";
}

function endUnload(
  track: Track,
  fence: number,
  result: protocol.backend.OrderResult,
  nowMs: number,
): void {
  if (result.kind === "done" || result.reason === "not-loaded") {
    track.answeredUnloaded = true;
  } else if (result.reason === "stale-fence") {
    track.staleFence = fence;
  } else {
    track.notBeforeMs = nowMs + RETRY_MS;
  }
}
