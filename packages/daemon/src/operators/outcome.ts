import * as protocol from "@ebonypath/protocol";
import * as fleet from "../fleet/mod.ts";

const { errors } = protocol;

/** JSON-RPC error code for a method that the peer does not implement. */
const METHOD_NOT_FOUND_CODE = -32601;

/** A publish request that conflicts with an already published version. */
export class VersionConflict extends errors.Refusal {
  readonly winner: NonNullable<protocol.operators.Problem["winner"]>;

  constructor(winner: VersionConflict["winner"]) {
    const time = new Date(winner.timeMs).toISOString();
    const author = winner.operator === "" ? "nobody" : winner.operator;
    super(
      errors.VERSION_CONFLICT,
      `version ${winner.version} by ${author} at ${time} is in force`,
    );
    this.winner = winner;
  }
}

/**
 * Returns the log index of an accepted change.
 *
 * @throws {protocol.errors.Refusal} if the change was rejected.
 * @example
 * ```ts
 * const index = acceptedIndex(await control.propose(command));
 * ```
 */
export function acceptedIndex(
  result:
    | protocol.state.CommandResult
    | protocol.operators.MemberChangeResult,
): number {
  switch (result.kind) {
    case "done":
      return result.index;
    case "version-conflict": {
      const { version, operator, timeMs } = result;
      throw new VersionConflict({ version, operator, timeMs });
    }
    case "invalid":
      throw new errors.Refusal(errors.INVALID_REQUEST, result.reason);
    case "not-found":
      throw new errors.Refusal(errors.NO_SUCH_ITEM, result.reason);
    case "full":
      throw new errors.Refusal(errors.STATE_FULL, result.reason);
    case "refused":
      throw new errors.Refusal(errors.MEMBER_CHANGE_REFUSED, result.reason);
    default:
      throw new TypeError(`a change was answered with ${result.kind}`);
  }
}

/**
 * Converts any error of a call to a `Refusal` whose outcome states whether the
 * change may have been made.
 *
 * @example
 * ```ts
 * respondRefusal(response, toRefusal(error));
 * ```
 */
export function toRefusal(error: unknown): protocol.errors.Refusal {
  if (error instanceof errors.Refusal) return error;
  if (error instanceof errors.StepError) {
    const { step, peer } = error;
    const options = { step, peer, cause: error };
    return new errors.Refusal(problemDefinition(error), error.message, options);
  }
  const options = { cause: error };
  return new errors.Refusal(errors.INTERNAL, "unexpected fault", options);
}

function problemDefinition(
  error: protocol.errors.StepError,
): protocol.errors.ProblemDefinition {
  if (error instanceof fleet.Unreachable) return errors.NO_LEADER;
  if (error instanceof fleet.NotLeader) return errors.NO_LEADER;
  const isMethodMissing = error instanceof fleet.RemoteError &&
    error.code === METHOD_NOT_FOUND_CODE;
  return isMethodMissing ? errors.NOT_SUPPORTED : errors.CHANGE_UNKNOWN;
}
