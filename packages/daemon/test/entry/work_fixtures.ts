import { Buffer } from "node:buffer";
import type * as entry from "../../src/entry/mod.ts";

let count = 0;

/** Creates work of a workspace with a deadline of 5 s after time 0. */
export function work(
  workspace: string,
  fields: Partial<entry.Work> = {},
): entry.Work {
  count += 1;
  return {
    requestId: `request-${count}`,
    workspace,
    keyDigest: null,
    service: "orders",
    target: "orders",
    method: "GET",
    path: "/stock",
    headers: {},
    priority: 2,
    body: Buffer.alloc(0),
    stream: false,
    idempotent: true,
    tokens: 1,
    tier: {
      name: "now",
      maxWaitMs: 5_000,
      priceFactor: 1,
      delivery: "connected",
    },
    deadline: 5_000,
    fingerprint: `print-${count}`,
    affinity: null,
    ...fields,
  };
}

/** Current state of a wait. */
export type Ending =
  | { kind: "waiting" }
  | { kind: "served" }
  | { kind: "refused"; error: unknown };

/** Tracks the state of a wait. */
export function trackWait(wait: Promise<unknown>): { ending: Ending } {
  const tracked: { ending: Ending } = { ending: { kind: "waiting" } };
  wait.then(
    () => tracked.ending = { kind: "served" },
    (error: unknown) => tracked.ending = { kind: "refused", error },
  );
  return tracked;
}
