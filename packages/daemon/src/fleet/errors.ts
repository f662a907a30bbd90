import * as protocol from "@ebonypath/protocol";

/** JSON-RPC error code: the peer is not the leader; `data.leader` may hold the leader's address. */
export const NOT_LEADER_CODE = -32001;
/** JSON-RPC error code: the call may or may not have taken effect. */
export const OUTCOME_UNKNOWN_CODE = -32002;

/** The called host is not the leader, or its lease has expired. */
export class NotLeader extends protocol.errors.StepError {
  override readonly name = "NotLeader";
  /** Fleet address of the leader; null if the peer does not know it. */
  readonly leader: string | null;

  constructor(step: string, peer: string, leader: string | null) {
    super(step, peer, `not the leader; leader=${leader ?? "unknown"}`);
    this.leader = leader;
  }
}

/** The request was sent, and it is unknown whether it took effect. */
export class OutcomeUnknown extends protocol.errors.StepError {
  override readonly name = "OutcomeUnknown";
}

/** No connection to the peer could be used; the call took no effect. */
export class Unreachable extends protocol.errors.StepError {
  override readonly name = "Unreachable";
}

/** The peer returned an error, either as an HTTP status or over JSON-RPC. */
export class RemoteError extends protocol.errors.StepError {
  override readonly name = "RemoteError";
  readonly code: number;

  constructor(step: string, peer: string, message: string, code: number) {
    super(step, peer, message);
    this.code = code;
  }
}
