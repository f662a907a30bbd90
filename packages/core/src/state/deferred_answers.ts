import * as protocol from "@ebonypath/protocol";
import type * as types from "./deferred_request.ts";
import * as results from "./results.ts";

type Answer = protocol.state.StoredResponse;

/** Answers a request whose outcome is unknown. */
export function unknownOutcomeAnswer(detail: string): Answer {
  return results.errorAnswer(protocol.errors.OUTCOME_UNKNOWN, detail);
}

/** Answers a request that its caller cancelled. */
export function cancelledAnswer(request: types.DeferredRequest): Answer {
  if (request.mayHaveRun) {
    return unknownOutcomeAnswer("it was cancelled after a start");
  }
  return results.errorAnswer(
    protocol.errors.CANCELLED,
    "cancelled by the caller",
  );
}

/** Answers a request whose deadline has passed. */
export function deadlineAnswer(request: types.DeferredRequest): Answer {
  const started = request.mayHaveRun || request.phase.kind === "assigned";
  const definition = started
    ? protocol.errors.DEADLINE_EXCEEDED
    : protocol.errors.NOT_STARTED_IN_TIME;
  return results.errorAnswer(definition, "the deadline of the tier has passed");
}
