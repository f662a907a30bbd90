import type * as protocol from "@ebonypath/protocol";
import type * as state from "../state/mod.ts";
import * as types from "./types.ts";

/** Pause after a failed unload, in milliseconds. */
const RETRY_MS = 1_000;

/** An order whose effect is not known yet. */
export interface Outstanding {
  readonly kind: protocol.backend.Order["kind"];
  readonly fence: number;
  readonly place: types.WeightSource;
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

/** A track without orders. */
export function create(replica: state.Replica, settledMs: number): Track {
  return {
    replica,
    outstanding: undefined,
    ordered: false,
    settledMs,
    answeredLoaded: false,
    refused: false,
    answeredUnloaded: false,
    proven: false,
    unloadSeenMs: undefined,
    notBeforeMs: 0,
    staleFence: 0,
  };
}

/** Whether an order brings something into memory. */
export function isLoad(kind: protocol.backend.Order["kind"]): boolean {
  return kind === "load" || kind === "load-adapter";
}

/** The load order that is under way, if there is one. */
export function outstandingLoad(track: Track): Outstanding | undefined {
  const { outstanding } = track;
  return outstanding !== undefined && isLoad(outstanding.kind)
    ? outstanding
    : undefined;
}

/** Records an order that is about to be sent. */
export function send(track: Track, outstanding: Outstanding): void {
  track.outstanding = outstanding;
  if (!isLoad(outstanding.kind)) return;
  track.ordered = true;
  track.settledMs = undefined;
}

/** Ends an order whose time is over: it takes effect no more. */
export function expire(track: Track, nowMs: number): void {
  const { outstanding } = track;
  if (outstanding === undefined || nowMs < outstanding.endsMs) return;
  track.outstanding = undefined;
  if (isLoad(outstanding.kind)) track.settledMs = outstanding.endsMs;
  else track.notBeforeMs = outstanding.endsMs + types.MAX_ANNOUNCEMENT_DELAY_MS;
}

/** Takes the answer to a load order. */
export function endLoad(
  track: Track,
  result: protocol.backend.OrderResult,
  nowMs: number,
): void {
  track.outstanding = undefined;
  track.settledMs = nowMs;
  if (result.kind === "done") track.answeredLoaded = true;
  else track.refused = true;
}

/** Takes the answer to an unload order. */
export function endUnload(
  track: Track,
  fence: number,
  result: protocol.backend.OrderResult,
  nowMs: number,
): void {
  track.outstanding = undefined;
  if (result.kind === "done" || result.reason === "not-loaded") {
    track.answeredUnloaded = true;
  } else if (result.reason === "stale-fence") {
    track.staleFence = fence;
  } else {
    track.notBeforeMs = nowMs + RETRY_MS;
  }
}

/** An announcement heard at `heardMs` shows the effect of the load order. */
export function prove(track: Track, heardMs: number): void {
  if (outstandingLoad(track) !== undefined) track.outstanding = undefined;
  track.settledMs = Math.min(track.settledMs ?? heardMs, heardMs);
  track.proven = true;
}
