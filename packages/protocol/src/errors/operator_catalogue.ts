/**
 * Refusals returned only to operators.
 *
 * @module
 */
import type * as types from "./types.ts";

/** The operator token is missing or unknown. */
export const TOKEN_REFUSED = {
  name: "token-refused",
  title: "The operator's token is missing or unknown",
  status: 401,
  outcome: "not-run",
  hint: "Send the token of an operator that the host's settings name.",
} as const satisfies types.ProblemDefinition;

/** The operator lacks the permission for this call. */
export const RIGHT_MISSING = {
  name: "right-missing",
  title: "The operator has no right to do this",
  status: 403,
  outcome: "not-run",
  hint: "Use an operator whose `rights` in the settings cover the call.",
} as const satisfies types.ProblemDefinition;

/** The path or the item does not exist. */
export const NO_SUCH_ITEM = {
  name: "no-such-item",
  title: "There is no such item",
  status: 404,
  outcome: "not-run",
  hint: "List the items of this kind to see which exist.",
} as const satisfies types.ProblemDefinition;

/** The path does not support this HTTP method. */
export const METHOD_REFUSED = {
  name: "method-refused",
  title: "The method is not allowed here",
  status: 405,
  outcome: "not-run",
  hint: "Use one of the methods in the `Allow` header.",
} as const satisfies types.ProblemDefinition;

/** The replicated state has reached its limit for items of this kind. */
export const STATE_FULL = {
  name: "state-full",
  title: "The replicated state can hold no more of these",
  status: 507,
  outcome: "not-run",
  hint: "Remove items that are no longer needed and try again.",
} as const satisfies types.ProblemDefinition;

/** The membership change is not allowed in the current state. */
export const MEMBER_CHANGE_REFUSED = {
  name: "member-change-refused",
  title: "The members can't be changed in this way now",
  status: 409,
  outcome: "not-run",
  hint: "Read `members status`, settle what it shows and try again.",
} as const satisfies types.ProblemDefinition;

/** This version of the daemon does not implement the call. */
export const NOT_SUPPORTED = {
  name: "not-supported",
  title: "This daemon can't do this",
  status: 501,
  outcome: "not-run",
  hint: "Use a daemon of a version that supports the call.",
} as const satisfies types.ProblemDefinition;

/** No leader of the replicated state was reachable. */
export const NO_LEADER = {
  name: "no-leader",
  title: "No leader of the replicated state was reached",
  status: 503,
  outcome: "not-run",
  hint: "Send the same change again, with the same change id.",
} as const satisfies types.ProblemDefinition;

/** The change was sent to a leader that did not respond. */
export const CHANGE_UNKNOWN = {
  name: "change-unknown",
  title: "The outcome of the change is not known",
  status: 504,
  outcome: "may-have-run",
  hint: "Send the same change again, with the same change id.",
} as const satisfies types.ProblemDefinition;

/** Another change with the same base version was accepted first. */
export const VERSION_CONFLICT = {
  name: "version-conflict",
  title: "Another change came first",
  status: 409,
  outcome: "not-run",
  hint: "Read the version in force, merge the change and publish again.",
} as const satisfies types.ProblemDefinition;
