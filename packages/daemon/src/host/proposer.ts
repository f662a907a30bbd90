import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../fleet/mod.ts";

/** Timeout of one attempt, in milliseconds. */
const ATTEMPT_MS = 1_000;
/** Timeout over all attempts, in milliseconds. */
const TOTAL_MS = 4_000;

/** Proposes commands that change the replicated state. */
export interface Proposer {
  /**
   * Proposes a command and waits until it is committed. A command whose
   * duplicates the state machine detects is retried automatically.
   *
   * @throws {fleet.Unreachable} no leader was found; nothing has changed
   * @throws {fleet.OutcomeUnknown} the command may have been committed
   */
  propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult>;
}

/** Sends proposals to the leader over fleet RPC. */
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
        retryable: isRetryable(command),
      },
    );
    return v.parse(protocol.state.CommandResult, answer);
  }
}

/** Whether the state machine returns the first result for a duplicate command. */
function isRetryable(command: protocol.state.Command): boolean {
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
