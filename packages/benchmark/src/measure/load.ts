import * as timers from "node:timers/promises";

/** Longest pause of the dispatcher between two looks, in milliseconds. */
const MAX_SLEEP_MS = 50;

/** One request of a plan. */
export interface Planned<T> {
  /** When it is to be sent, in milliseconds from the start. */
  readonly atMs: number;
  readonly item: T;
}

/** How one request ended. */
export interface Finished<T, R> {
  readonly item: T;
  readonly atMs: number;
  /** Time from the planned sending to the end, in milliseconds. */
  readonly latencyMs: number;
  /** The part of it by which the generator sent the request late. */
  readonly lateMs: number;
  readonly result: R;
}

/**
 * Sends requests at their planned times, whatever became of the ones before,
 * and counts latency from the planned time, so that a stall of the system or
 * of the generator is not left out.
 *
 * @example
 * ```ts
 * const ended = await openLoop(plan, (item) => send(item));
 * ```
 */
export async function openLoop<T, R>(
  plan: readonly Planned<T>[],
  send: (item: T) => Promise<R>,
): Promise<Finished<T, R>[]> {
  const start = performance.now();
  const running: Promise<Finished<T, R>>[] = [];
  for (const { atMs, item } of plan) {
    await sleepUntil(start + atMs);
    running.push(finish(item, atMs, start, send));
  }
  return await Promise.all(running);
}

/** Keeps `concurrency` requests in flight; returns those a second. */
export async function closedLoop(
  concurrency: number,
  durationMs: number,
  send: () => Promise<unknown>,
): Promise<number> {
  const start = performance.now();
  let finished = 0;
  const work = async () => {
    while (performance.now() - start < durationMs) {
      await send();
      finished += 1;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return finished / ((performance.now() - start) / 1_000);
}

async function finish<T, R>(
  item: T,
  atMs: number,
  start: number,
  send: (item: T) => Promise<R>,
): Promise<Finished<T, R>> {
  const lateMs = performance.now() - start - atMs;
  const result = await send(item);
  const latencyMs = performance.now() - start - atMs;
  return { item, atMs, lateMs, latencyMs, result };
}

async function sleepUntil(time: number): Promise<void> {
  while (true) {
    const restMs = time - performance.now();
    if (restMs <= 0) return;
    // Timers fire up to a millisecond late: the last one is spent in turns of
    // the event loop.
    if (restMs > 2) await timers.setTimeout(Math.min(restMs - 2, MAX_SLEEP_MS));
    else await timers.setImmediate();
  }
}
