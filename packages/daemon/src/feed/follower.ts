/**
 * Client of the feed: connects to the leader, reconnects when nothing is
 * received, and resumes at the log index that the host has applied.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";

const write = log.createLog("feed");

/**
 * A connection on which nothing is received for this time is replaced, in
 * milliseconds.
 */
const IDLE_TIMEOUT_MS = 1_500;
/** Timeout for opening a connection, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;
/** Delay before the next connection attempt, in milliseconds. */
const RECONNECT_DELAY_MS = 100;
/** Maximum length of a line, in characters. */
const MAX_LINE_LENGTH = 64 * 1024 * 1024;

const Notification = v.object({
  method: v.literal(protocol.control.FEED_METHOD),
  params: protocol.control.FeedEvent,
});

/** Options of {@link followFeed}. */
export interface FollowerOptions {
  /** Name of this host, sent with the feed request. */
  readonly host: string;
  readonly rpc: Pick<fleet.RpcClient, "open">;
  readonly leader: {
    readonly leader: string | null;
    forgetLeader(address: string): void;
  };
  /** Log index of the last applied change; -1 if there is none. */
  index(): number;
  /** Applies one event. An exception ends the connection. */
  apply(event: protocol.control.FeedEvent): void;
}

/**
 * Follows the feed until `signal` is aborted.
 *
 * @example
 * ```ts
 * await followFeed(options, signal);
 * ```
 */
export async function followFeed(
  options: FollowerOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const peer = options.leader.leader;
    if (peer !== null) {
      await readFeed(options, peer, signal).catch((error: unknown) => {
        write("lost", { peer, error });
        options.leader.forgetLeader(peer);
      });
    }
    await timers.setTimeout(RECONNECT_DELAY_MS, undefined, { signal })
      .catch(() => undefined);
  }
}

/**
 * Applies the events of one connection until it ends, is idle for too long or
 * `signal` is aborted.
 */
async function readFeed(
  options: FollowerOptions,
  peer: string,
  signal: AbortSignal,
): Promise<void> {
  const connection = new AbortController();
  const abort = () => connection.abort();
  signal.addEventListener("abort", abort);
  const idleTimer = setTimeout(abort, IDLE_TIMEOUT_MS);
  try {
    const request = { host: options.host, index: options.index() };
    const body = await options.rpc.open(
      peer,
      "/feed",
      request,
      OPEN_TIMEOUT_MS,
      connection.signal,
    );
    write("open", { peer, index: request.index });
    let pending = "";
    body.setEncoding("utf8");
    for await (const chunk of body) {
      idleTimer.refresh();
      pending = applyLines(options, pending + String(chunk));
    }
  } finally {
    clearTimeout(idleTimer);
    signal.removeEventListener("abort", abort);
    connection.abort();
  }
}

/**
 * Applies the events of all complete lines and returns the text after the last
 * newline. Empty lines are heartbeats.
 */
function applyLines(options: FollowerOptions, text: string): string {
  const lines = text.split("\n");
  const pending = lines.pop() ?? "";
  for (const line of lines) {
    if (line === "") continue;
    options.apply(v.parse(Notification, JSON.parse(line)).params);
  }
  if (pending.length > MAX_LINE_LENGTH) throw new RangeError("line too long");
  return pending;
}
