import type { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";

/** A command exceeds the maximum size of an entry; nothing was appended. */
export class TooLarge extends protocol.errors.StepError {
  override readonly name = "TooLarge";
}

/** Too many entries are uncommitted; nothing was appended. */
export class Overloaded extends protocol.errors.StepError {
  override readonly name = "Overloaded";
}

/** A membership change was refused; nothing was appended. */
export class ChangeRefused extends protocol.errors.StepError {
  override readonly name = "ChangeRefused";
  /** Why the change was refused. */
  readonly reason: replication.RefusalReason;

  constructor(step: string, peer: string, reason: replication.RefusalReason) {
    super(step, peer, reason);
    this.reason = reason;
  }
}
