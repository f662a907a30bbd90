/**
 * Forms a group on empty disks.
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

/** What a replica without a log does next. */
export type BootstrapDecision =
  | { kind: "form"; membership: replication.Membership }
  | { kind: "wait"; reason: string };

/** What an operator has to do with a disk that is new to the group. */
const GROUP_EXISTS =
  "the group exists and doesn't know this disk, so it does not vote; " +
  "run `ebonypath members replace OLD-ID ADDRESS` or `members add ADDRESS`";

const log = createLog("replication");

/**
 * Decides how a replica without a log starts, from the answers of all initial
 * voters (null for one that did not answer).
 *
 * A group is formed only when every initial voter answers with an empty disk;
 * a membership that another one has already formed with is taken up.
 *
 * @example
 * ```ts
 * const step = decideFormation(self, [identityOfA, null, identityOfC]);
 * ```
 */
export function decideBootstrap(
  self: replication.Member,
  answers: (Identity | null)[],
): BootstrapDecision {
  const formed = answers.find((answer) =>
    answer?.formation?.voters.some(({ id }) => id === self.id)
  );
  if (formed?.formation) {
    return { kind: "form", membership: formed.formation };
  }
  if (answers.some((answer) => answer !== null && !answer.empty)) {
    return { kind: "wait", reason: GROUP_EXISTS };
  }
  const present = answers.filter((answer) => answer !== null);
  if (present.length < answers.length) {
    return { kind: "wait", reason: "an initial voter does not answer" };
  }
  const voters = present.map(({ member }) => member);
  const ids = new Set(voters.map(({ id }) => id));
  if (ids.size < voters.length || !ids.has(self.id)) {
    return { kind: "wait", reason: "the initial voters are not distinct" };
  }
  voters.sort((left, right) => left.id < right.id ? -1 : 1);
  return { kind: "form", membership: { voters, learners: [] } };
}

/**
 * Asks the initial voters until this replica has a log: by forming the group,
 * or because a leader has sent it one.
 *
 * @param ask answers with the identity of the replica at an address, this one
 * among them; a failure counts as no answer.
 */
export async function bootstrapGroup(
  driver: ReplicationDriver,
  addresses: readonly string[],
  ask: (address: string) => Promise<Identity>,
  signal: AbortSignal,
): Promise<void> {
  let reported = "";
  while (!driver.hasLog && !signal.aborted) {
    const answers = await Promise.all(
      addresses.map((address) => ask(address).catch(() => null)),
    );
    const step = decideBootstrap(driver.self, answers);
    if (step.kind === "form" && await driver.bootstrap(step.membership)) {
      return;
    }
    const reason = step.kind === "wait" ? step.reason : "the disk has failed";
    if (reason !== reported) {
      reported = reason;
      log("not_formed", { reason });
    }
    await timers.setTimeout(RETRY_MS, undefined, { signal })
      .catch(() => undefined);
  }
}
