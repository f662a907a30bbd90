/**
 * Hands leadership to another voter before a process ends.
 *
 * @module
 */

import * as timers from "node:timers";
import type { ReplicationDriver } from "./driver.ts";

/** Time that a hand-over may take, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 2_000;

/** The part of a replica's driver that a hand-over needs. */
export type LeadershipTransferDriver = Pick<
  ReplicationDriver,
  | "self"
  | "status"
  | "membership"
  | "progressOf"
  | "onStatusChange"
  | "transferLeadership"
>;

/**
 * Hands leadership to the voter that holds most of the log and answered last.
 * Resolves to whether this replica doesn't lead any more; false when there is
 * nobody to take over, or not in time.
 *
 * @example
 * ```ts
 * await handOver(driver);
 * await driver[Symbol.asyncDispose]();
 * ```
 */
export async function handOverLeadership(
  driver: LeadershipTransferDriver,
  timeoutMs: number = HAND_OVER_TIMEOUT_MS,
): Promise<boolean> {
  if (driver.status.role !== "leader") {
    return true;
  }
  const successor = successorOf(driver);
  if (successor === null) {
    return false;
  }
  return await new Promise((resolve) => {
    const end = (handedOver: boolean) => {
      timers.clearTimeout(timer);
      forget();
      resolve(handedOver);
    };
    const timer = timers.setTimeout(() => end(false), timeoutMs);
    const forget = driver.onStatusChange(({ role }) => {
      if (role !== "leader") {
        end(true);
      }
    });
    driver.transferLeadership(successor);
  });
}

function successorOf(driver: LeadershipTransferDriver): string | null {
  const candidates = driver.membership.voters.flatMap(({ id }) => {
    const progress = driver.progressOf(id);
    return id === driver.self.id || progress === null ? [] : [{ id, progress }];
  });
  candidates.sort((left, right) =>
    right.progress.matchIndex - left.progress.matchIndex ||
    left.progress.silenceMs - right.progress.silenceMs
  );
  return candidates[0]?.id ?? null;
}
