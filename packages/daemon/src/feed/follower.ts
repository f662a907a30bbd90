/**
 * A host's side of the feed: follows the leader, replaces a silent link and
 * resumes at the version it has.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";

const write = log.createLog("feed");

/** A link without a message for this time is replaced, in milliseconds. */
const SILENCE_MS = 1_500;
/** Longest wait for a link to open, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;
/** Pause between tries, in milliseconds. */
const RETRY_PAUSE_MS = 100;
/** Longest accepted line, in characters. */
const MAX_LINE_LENGTH = 64 * 1024 * 1024;

const Notification = v.object({
  method: v.literal(protocol.control.FEED_METHOD),
  params: protocol.control.FeedEvent,
});

/** What the follower needs of its host. */
export interface FollowerOptions {
  readonly host: string;
  readonly rpc: Pick<fleet.RpcClient, "open">;
  readonly leader: {
    readonly leader: string | null;
    forgetLeader(address: string): void;
  };
  /** Log index up to which changes are applied; -1 for none. */
  index(): number;
  /** Applies one event; throws where it must not be applied. */
  apply(event: protocol.control.FeedEvent): void;
}

/**
 * Follows the feed until `signal` ends it.
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
      await followLink(options, peer, signal).catch((error: unknown) => {
        write("lost", {
          peer,
          error,
        });
        options.leader.forgetLeader(peer);
      });
    }
    await timers.setTimeout(RETRY_PAUSE_MS, undefined, { signal })
      .catch(() => undefined);
  }
}

async function followLink(
  options: FollowerOptions,
  peer: string,
  signal: AbortSignal,
): Promise<void> {
  const link = new AbortController();
  const stop = () => link.abort();
  signal.addEventListener("abort", stop);
  const silence = setTimeout(stop, SILENCE_MS);
  try {
    const request = { host: options.host, index: options.index() };
    const body = await options.rpc.open(
      peer,
      "/feed",
      request,
      OPEN_TIMEOUT_MS,
      link.signal,
    );
    write("open", { peer, index: request.index });
    let rest = "";
    body.setEncoding("utf8");
    for await (const part of body) {
      silence.refresh();
      rest = applyLines(options, rest + String(part));
    }
  } finally {
    clearTimeout(silence);
    signal.removeEventListener("abort", stop);
    link.abort();
  }
}

/**
 * Applies all whole lines and returns what follows the last newline. Empty lines
 * are heartbeats.
 */
function applyLines(options: FollowerOptions, text: string): string {
  const lines = text.split("\n");
  const rest = lines.pop() ?? "";
  for (const line of lines) {
    if (line === "") continue;
    options.apply(v.parse(Notification, JSON.parse(line)).params);
  }
  if (rest.length > MAX_LINE_LENGTH) throw new RangeError("line too long");
  return rest;
}
