/**
 * Single-member membership changes, one at a time.
 *
 * @module
 */

import type { Context } from "./context.ts";
import type { LeaderState } from "./leader_state.ts";
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
  leaderState: LeaderState,
  id: number,
  change: MembershipChangeRequest,
): void {
  const result = resolveChange(context, leaderState, change);
  if (typeof result === "string") {
    leaderState.refuse(id, result);
    return;
  }
  const { log, term } = context;
  const index = log.lastIndex + 1;
  context.emit({
    kind: "outcome",
    outcome: { kind: "appended", id, index, term },
  });
  const note = change.note === undefined ? {} : { note: change.note };
  leaderState.append([{ kind: "membership", membership: result, ...note }]);
}

function resolveChange(
  context: Context,
  leaderState: LeaderState,
  change: MembershipChange,
): Membership | RefusalReason {
  const refusal = leaderState.appendRefusal(1, 0);
  if (refusal !== null) {
    return refusal;
  }
  const { memberships, commitIndex } = context;
  const hasNoPendingChange = memberships.currentIndex <= commitIndex &&
    leaderState.hasCommittedInTerm;
  if (!hasNoPendingChange) {
    return "changePending";
  }
  const result = applyMembershipChange(memberships.current, change);
  const isPromotion = typeof result !== "string" && change.kind === "promote";
  if (isPromotion && !isCaughtUp(context, leaderState, change.id)) {
    return "notCaughtUp";
  }
  return result;
}

function isCaughtUp(
  { log, now, settings }: Context,
  leaderState: LeaderState,
  id: string,
): boolean {
  const progress = leaderState.progressOf(id);
  if (progress === undefined) {
    return false;
  }
  const lagEntries = log.lastIndex - progress.matchIndex;
  const lastReplyAgeMs = now - progress.ackedSentAt;
  return lagEntries <= settings.maxPromotionLagEntries &&
    lastReplyAgeMs <= settings.electionTimeoutMinimumMs;
}
