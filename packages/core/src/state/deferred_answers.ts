import * as protocol from "@ebonypath/protocol";
import type * as types from "./deferred_request.ts";
import * as results from "./results.ts";

type Answer = protocol.state.StoredResponse;

/** The refusal of a request whose outcome is not known. */
export function unknownAnswer(detail: string): Answer {
  return results.refusal(protocol.errors.OUTCOME_UNKNOWN, detail);
}

/** The refusal of a request that its caller cancelled. */
export function cancelledAnswer(item: types.DeferredRequest): Answer {
  if (item.mayHaveRun) return unknownAnswer("it was cancelled after a start");
  return results.refusal(protocol.errors.CANCELLED, "cancelled by the caller");
}

/** The refusal of a request whose deadline has passed. */
export function overdueAnswer(item: types.DeferredRequest): Answer {
  const started = item.mayHaveRun || item.phase.kind === "assigned";
  const definition = started
    ? protocol.errors.DEADLINE_EXCEEDED
    : protocol.errors.NOT_STARTED_IN_TIME;
  return results.refusal(definition, "the deadline of the tier has passed");
}
