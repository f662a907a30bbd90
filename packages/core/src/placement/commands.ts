import * as protocol from "@ebonypath/protocol";
import type * as proposals from "./proposals.ts";

/**
 * The command of a proposal.
 *
 * @example
 * ```ts
 * const command = commandOf({ kind: "unload", replica: 7, reason: "idle" });
 * ```
 */
export function commandOf(
  proposal: proposals.Proposal,
): protocol.state.Command {
  switch (proposal.kind) {
    case "decide":
    case "adopt":
      return { ...proposal, kind: "decide-replica" };
    case "unload":
      return { kind: "decide-unload", replica: proposal.replica };
    case "forget": {
      const { replica, reason } = proposal;
      return { kind: "forget-replica", replica, reason };
    }
    default:
      return protocol.errors.assertNever(proposal);
  }
}
