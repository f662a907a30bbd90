/**
 * Transfers leadership to another voter before a process ends.
 *
 * @module
 */

import * as timers from "node:timers";
import type { ReplicationDriver } from "./driver.ts";

/** Time limit of a leadership transfer, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 2_000;

/** The members of a replica's driver that a leadership transfer needs. */
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
 * Transfers leadership to the voter with the highest match index; among equal
 * ones, to the one that responded most recently.
 *
 * @returns whether this replica is not the leader any more; false when no other
 * voter is available or the transfer timed out
 * @example
 * ```ts
 * await handOverLeadership(driver);
 * await driver[Symbol.asyncDispose]();
 * ```
 */
export async function handOverLeadership(
  driver: LeadershipTransferDriver,
  timeoutMs: number = TRANSFER_TIMEOUT_MS,
): Promise<boolean> {
  if (driver.status.role !== "leader") {
    return true;
  }
  const successor = chooseSuccessor(driver);
  if (successor === null) {
    return false;
  }
  return await new Promise((resolve) => {
    const finish = (handedOver: boolean) => {
      timers.clearTimeout(timer);
      unsubscribe();
      resolve(handedOver);
    };
    const timer = timers.setTimeout(() => finish(false), timeoutMs);
    const unsubscribe = driver.onStatusChange(({ role }) => {
      if (role !== "leader") {
        finish(true);
      }
    });
    driver.transferLeadership(successor);
  });
}

function chooseSuccessor(driver: LeadershipTransferDriver): string | null {
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
