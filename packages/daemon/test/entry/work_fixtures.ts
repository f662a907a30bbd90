import { Buffer } from "node:buffer";
import type * as entry from "../../src/entry/mod.ts";

let count = 0;

/** Work of one workspace that may wait for 5 s from the time 0. */
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

/** How a wait has ended so far. */
export type Ending =
  | { kind: "waiting" }
  | { kind: "served" }
  | { kind: "refused"; error: unknown };

/** Follows a wait to its end. */
export function follow(wait: Promise<unknown>): { ending: Ending } {
  const followed: { ending: Ending } = { ending: { kind: "waiting" } };
  wait.then(
    () => followed.ending = { kind: "served" },
    (error: unknown) => followed.ending = { kind: "refused", error },
  );
  return followed;
}
