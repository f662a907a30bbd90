import type * as protocol from "@ebonypath/protocol";

type Command = protocol.state.Command;

/** A state change that an operator requests. */
export type OperatorCommand = Extract<
  Command,
  { operator: string; changeId: string }
>;

/** A membership change of the replicated state. */
export type MemberChange =
  & { readonly operator: string; readonly changeId: string }
  & (
    | { readonly kind: "add"; readonly address: string }
    | { readonly kind: "remove"; readonly id: string }
    | {
      readonly kind: "replace";
      readonly id: string;
      readonly address: string;
    }
  );

/**
 * Access of the operators' interface to the replicated state.
 *
 * Calls reject with `fleet.Unreachable` or `fleet.NotLeader` if nothing was
 * changed, and with `fleet.OutcomeUnknown` if a change may have been made.
 */
export interface ControlAccess {
  /** Commits a change; a retry with its change ID returns the first result. */
  propose(command: OperatorCommand): Promise<protocol.state.CommandResult>;
  /** Returns the current state as the leader knows it. */
  view(): Promise<protocol.state.FleetView>;
  /** Returns a published configuration, by default the current one. */
  configuration(
    version?: number,
  ): Promise<protocol.operators.PublishedVersion | undefined>;
  members(): Promise<protocol.operators.Members>;
  changeMembers(
    change: MemberChange,
  ): Promise<protocol.operators.MemberChangeResult>;
  /** Returns all hosts known to the leader, with the state each has applied. */
  hosts(): Promise<readonly protocol.operators.Host[]>;
  /** Returns the fleet status as this host sees it; needs no leader. */
  status(): Promise<protocol.operators.Status>;
  /** Explains where a request would go from this host; needs no leader. */
  explain(
    question: protocol.operators.Question,
  ): Promise<protocol.operators.Explanation>;
  /** Returns up to `limit` audit entries with an index above `after`. */
  auditPage(
    after: number,
    limit: number,
  ): Promise<readonly protocol.operators.AuditEntry[]>;
}
