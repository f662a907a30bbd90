import * as timers from "node:timers/promises";

/** Resolves when all that has arrived on connections so far has been read. */
export async function readArrivedData(): Promise<void> {
  // The first immediate may run in the current turn of the event loop, the
  // second one runs after the next turn has read what has arrived.
  await timers.setImmediate();
  await timers.setImmediate();
}
