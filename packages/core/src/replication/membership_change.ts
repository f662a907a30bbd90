/**
 * Single-member membership changes, one at a time.
 *
 * @module
 */

import type { Context } from "./context.ts";
import type { Leadership } from "./leadership.ts";
import { applyMembershipChange } from "./membership.ts";
import type {
  Membership,
  MembershipChange,
  MembershipChangeRequest,
  RefusalReason,
} from "./types.ts";

/** Appends the changed membership, or refuses the change with a reason. */
export function changeMembership(
  context: Context,
  leadership: Leadership,
  id: number,
  change: MembershipChangeRequest,
): void {
  const result = resolveChange(context, leadership, change);
  if (typeof result === "string") {
    leadership.refuse(id, result);
    return;
  }
  const { log, term } = context;
  const index = log.lastIndex + 1;
  context.emit({
    kind: "outcome",
    outcome: { kind: "appended", id, index, term },
  });
  const note = change.note === undefined ? {} : { note: change.note };
  leadership.append([{ kind: "membership", membership: result, ...note }]);
}

function resolveChange(
  context: Context,
  leadership: Leadership,
  change: MembershipChange,
): Membership | RefusalReason {
  const refusal = leadership.appendRefusal(1, 0);
  if (refusal !== null) {
    return refusal;
  }
  const { memberships, commitIndex } = context;
  const hasNoPendingChange = memberships.currentIndex <= commitIndex &&
    leadership.hasCommittedInTerm;
  if (!hasNoPendingChange) {
    return "changePending";
  }
  const result = applyMembershipChange(memberships.current, change);
  const isPromotion = typeof result !== "string" && change.kind === "promote";
  if (isPromotion && !isCaughtUp(context, leadership, change.id)) {
    return "notCaughtUp";
  }
  return result;
}

function isCaughtUp(
  { log, now, settings }: Context,
  leadership: Leadership,
  id: string,
): boolean {
  const progress = leadership.progressOf(id);
  if (progress === undefined) {
    return false;
  }
  const lagEntries = log.lastIndex - progress.matchIndex;
  const lastReplyAgeMs = now - progress.ackedSentAt;
  return lagEntries <= settings.maxPromotionLagEntries &&
    lastReplyAgeMs <= settings.electionTimeoutMinimumMs;
}
