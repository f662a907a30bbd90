import * as protocol from "@ebonypath/protocol";

/** JSON-RPC error code: the peer does not lead; `data.leader` may name who does. */
export const NOT_LEADER_CODE = -32001;
/** JSON-RPC error code: the outcome of the call is not known. */
export const OUTCOME_UNKNOWN_CODE = -32002;

/** The called host does not lead, or has lost its lease. */
export class NotLeader extends protocol.errors.StepError {
  override readonly name = "NotLeader";
  /** Fleet address of the leader, where the peer knows it. */
  readonly leader: string | null;

  constructor(step: string, peer: string, leader: string | null) {
    super(step, peer, `not the leader; leader=${leader ?? "unknown"}`);
    this.leader = leader;
  }
}

/** The call may or may not have taken effect. */
export class OutcomeUnknown extends protocol.errors.StepError {
  override readonly name = "OutcomeUnknown";
}

/** The peer could not be reached, and nothing was sent. */
export class Unreachable extends protocol.errors.StepError {
  override readonly name = "Unreachable";
}

/** The peer answered with an error of its own. */
export class RemoteError extends protocol.errors.StepError {
  override readonly name = "RemoteError";
  readonly code: number;

  constructor(step: string, peer: string, message: string, code: number) {
    super(step, peer, message);
    this.code = code;
  }
}
