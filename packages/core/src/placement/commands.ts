import * as protocol from "@ebonypath/protocol";
import type * as pendingProposals from "./pending_proposals.ts";

/**
 * Converts a proposal to the command that is appended to the log.
 *
 * @example
 * ```ts
 * const command = commandOf({ kind: "unload", replica: 7, reason: "idle" });
 * ```
 */
export function commandOf(
  proposal: pendingProposals.Proposal,
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
