import type { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";

/** A command is too large for the log; nothing was appended. */
export class TooLarge extends protocol.errors.StepError {
  override readonly name = "TooLarge";
}

/** Too many entries wait for their commit; nothing was appended. */
export class Overloaded extends protocol.errors.StepError {
  override readonly name = "Overloaded";
}

/** A change of the membership was refused; nothing was appended. */
export class ChangeRefused extends protocol.errors.StepError {
  override readonly name = "ChangeRefused";
  /** Why the change was refused. */
  readonly reason: replication.RefusalReason;

  constructor(step: string, peer: string, reason: replication.RefusalReason) {
    super(step, peer, reason);
    this.reason = reason;
  }
}
