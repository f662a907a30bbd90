/**
 * Raft replicated log without I/O.
 *
 * A {@link Replica} is a deterministic state machine: it takes inputs and a
 * monotonic clock value and returns effects. Its owner performs the disk
 * writes, network sends and applies that the effects describe.
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
