import type * as protocol from "@ebonypath/protocol";

type Command = protocol.state.Command;

/** A change that an operator makes. */
export type OperatorCommand = Extract<
  Command,
  { operator: string; changeId: string }
>;

/** A change of the members of the replicated state. */
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
 * What the operators' interface needs of the replicated state.
 *
 * Calls reject with `fleet.Unreachable` or `fleet.NotLeader` when nothing was
 * changed, and with `fleet.OutcomeUnknown` when a change may have been made.
 */
export interface ControlAccess {
  /** Commits a change; a resend with its change id gets the first result. */
  propose(command: OperatorCommand): Promise<protocol.state.CommandResult>;
  /** The state in force, as the leader knows it. */
  view(): Promise<protocol.state.FleetView>;
  /** A published configuration; the one in force without `version`. */
  configuration(
    version?: number,
  ): Promise<protocol.operators.PublishedVersion | undefined>;
  members(): Promise<protocol.operators.Members>;
  changeMembers(
    change: MemberChange,
  ): Promise<protocol.operators.MemberChangeResult>;
  /** Every host that the leader knows, with what it has applied. */
  hosts(): Promise<readonly protocol.operators.Host[]>;
  /** The fleet as this host sees it; answers without a leader too. */
  status(): Promise<protocol.operators.Status>;
  /** Up to `limit` audit entries with an index above `after`. */
  auditPage(
    after: number,
    limit: number,
  ): Promise<readonly protocol.operators.AuditEntry[]>;
}
