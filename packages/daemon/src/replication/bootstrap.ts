/**
 * Bootstraps a group of replicas with empty stores.
 *
 * @module
 */

import * as timers from "node:timers/promises";
import type { replication } from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import { createLog } from "../log/mod.ts";
import type { ReplicationDriver } from "./driver.ts";

const RETRY_MS = 200;

type Identity = protocol.replication.Identity;

/** The next step of a replica without a log. */
export type BootstrapDecision =
  | { kind: "form"; membership: replication.Membership }
  | { kind: "wait"; reason: string };

/** Tells the operator how to add a replica with an empty store to a group. */
const GROUP_EXISTS =
  "the group already exists and this replica is not a member of it, " +
  "so it does not vote; " +
  "run `ebonypath members replace OLD-ID ADDRESS` or `members add ADDRESS`";

const log = createLog("replication");

/**
 * Decides how a replica without a log starts, from the identities of all initial
 * voters (null for one that did not respond).
 *
 * A new group is bootstrapped only when every initial voter responds and has an
 * empty store. When another voter has already been bootstrapped with a membership
 * that contains this replica, that membership is adopted.
 *
 * @example
 * ```ts
 * const decision = decideBootstrap(self, [identityOfA, null, identityOfC]);
 * ```
 */
export function decideBootstrap(
  self: replication.Member,
  answers: (Identity | null)[],
): BootstrapDecision {
  const bootstrapped = answers.find((answer) =>
    answer?.formation?.voters.some(({ id }) => id === self.id)
  );
  if (bootstrapped?.formation) {
    return { kind: "form", membership: bootstrapped.formation };
  }
  if (answers.some((answer) => answer !== null && !answer.empty)) {
    return { kind: "wait", reason: GROUP_EXISTS };
  }
  const identities = answers.filter((answer) => answer !== null);
  if (identities.length < answers.length) {
    return { kind: "wait", reason: "an initial voter did not respond" };
  }
  const voters = identities.map(({ member }) => member);
  const ids = new Set(voters.map(({ id }) => id));
  if (ids.size < voters.length || !ids.has(self.id)) {
    return {
      kind: "wait",
      reason:
        "the ids of the initial voters are not distinct or do not include this replica",
    };
  }
  voters.sort((left, right) => left.id < right.id ? -1 : 1);
  return { kind: "form", membership: { voters, learners: [] } };
}

/**
 * Queries the initial voters until this replica has a log, either because it
 * bootstrapped the group or because a leader replicated its log to it.
 *
 * @param fetchIdentity returns the identity of the replica at an address,
 * including this one; a failure counts as no response
 */
export async function bootstrapGroup(
  driver: ReplicationDriver,
  addresses: readonly string[],
  fetchIdentity: (address: string) => Promise<Identity>,
  signal: AbortSignal,
): Promise<void> {
  let loggedReason = "";
  while (!driver.hasLog && !signal.aborted) {
    const answers = await Promise.all(
      addresses.map((address) => fetchIdentity(address).catch(() => null)),
    );
    const decision = decideBootstrap(driver.self, answers);
    if (
      decision.kind === "form" && await driver.bootstrap(decision.membership)
    ) {
      return;
    }
    const reason = decision.kind === "wait"
      ? decision.reason
      : "the store failed";
    if (reason !== loggedReason) {
      loggedReason = reason;
      log("not_formed", { reason });
    }
    await timers.setTimeout(RETRY_MS, undefined, { signal })
      .catch(() => undefined);
  }
}
