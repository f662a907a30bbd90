/**
 * A replicated log after the published Raft algorithm, without input or output.
 *
 * A {@link Replica} is given inputs and a monotonic clock value and answers
 * with effects. Its owner writes, sends and applies what the effects say.
 *
 * @module
 */

export * from "./bootstrap.ts";
export {
  allMembers,
  EMPTY_MEMBERSHIP,
  isMember,
  isVoter,
  quorumSize,
} from "./membership.ts";
export { Replica } from "./replica.ts";
export * from "./types.ts";
