import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";

/**
 * Tells an operator why a change of members was refused.
 *
 * @example
 * ```ts
 * describeRefusal("lastVoter"); // "the last voter can't be removed"
 * ```
 */
export function describeRefusal(
  reason: core.replication.RefusalReason,
): string {
  switch (reason) {
    case "notLeader":
      return "the asked host leads no longer";
    case "transferring":
      return "the leadership is being handed over";
    case "overloaded":
      return "the leader has too many changes to make";
    case "tooLarge":
      return "the change is too large for the log";
    case "changePending":
      return "another change of members is under way";
    case "notCaughtUp":
      return "the new member has not caught up in time; it stays a learner, repeat the command to go on";
    case "unknownMember":
      return "there is no such member";
    case "alreadyMember":
      return "the host is a member already";
    case "lastVoter":
      return "the last voter can't be removed";
    default:
      return protocol.errors.assertNever(reason);
  }
}

/**
 * Whether a resend of the refused change would be refused again.
 *
 * @example
 * ```ts
 * isFinal("changePending"); // false
 * ```
 */
export function isFinal(reason: core.replication.RefusalReason): boolean {
  switch (reason) {
    case "unknownMember":
    case "alreadyMember":
    case "lastVoter":
      return true;
    case "notLeader":
    case "transferring":
    case "overloaded":
    case "tooLarge":
    case "changePending":
    case "notCaughtUp":
      return false;
    default:
      return protocol.errors.assertNever(reason);
  }
}
