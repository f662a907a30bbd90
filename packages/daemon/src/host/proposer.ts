import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../fleet/mod.ts";

/** Time for one try of a proposal, in milliseconds. */
const ATTEMPT_MS = 1_000;
/** Time for all tries of a proposal, in milliseconds. */
const TOTAL_MS = 4_000;

/** Proposes changes of the replicated state at the leader. */
export interface Proposer {
  /**
   * Proposes a command and waits until it is committed. A command that the
   * state machine recognises when it comes again is sent again on its own.
   *
   * @throws {fleet.Unreachable} no leader was found; nothing was changed
   * @throws {fleet.OutcomeUnknown} the command may have been committed
   */
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** Proposes over the fleet links. */
export class RemoteProposer implements Proposer {
  readonly #leader: Pick<fleet.LeaderClient, "call">;

  constructor(leader: Pick<fleet.LeaderClient, "call">) {
    this.#leader = leader;
  }

  async propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult> {
    const answer = await this.#leader.call(
      protocol.control.PROPOSE_METHOD,
      { command },
      {
        attemptMs: ATTEMPT_MS,
        totalMs: TOTAL_MS,
        retryable: isRepeatable(command),
      },
    );
    return v.parse(protocol.state.CommandResult, answer);
  }
}

/** Whether the state machine gives a resend the result of the first try. */
function isRepeatable(command: protocol.state.Command): boolean {
  switch (command.kind) {
    case "publish":
    case "grant-key":
    case "withdraw-key":
    case "withdraw-failure-domain":
    case "restore-failure-domain":
    case "release-quarantine":
    case "note-membership":
    case "open-claim":
    case "close-claim":
    case "release-claim":
    case "lose-host":
    case "accept-deferred":
    case "return-deferred":
    case "finish-deferred":
    case "cancel-deferred":
    case "advance-time":
      return true;
    case "decide-replica":
    case "decide-unload":
    case "forget-replica":
    case "assign-deferred":
    case "set-grantable":
    case "quarantine":
      return false;
    default:
      return protocol.errors.assertNever(command);
  }
}
