import type * as protocol from "@ebonypath/protocol";

/** What applying one log entry did. */
export interface ApplyResult {
  readonly result: protocol.state.CommandResult;
  /** What entry hosts have to hear. */
  readonly changes: readonly protocol.state.ViewChange[];
}

/** Where in the log, and when, a command is applied. */
export interface LogPosition {
  readonly index: number;
  /** Log time in milliseconds; never decreases. */
  readonly timeMs: number;
}

/** A host process: the host and its incarnation. */
export interface Owner {
  readonly host: string;
  readonly hostIncarnation: string;
}

/** Bounds of the replicated state; they must be equal on every voter. */
export interface Limits {
  /** Published versions kept for rollback. */
  readonly versions: number;
  readonly keys: number;
  readonly failureDomains: number;
  readonly quarantines: number;
  readonly replicas: number;
  /** Change ids remembered with their results. */
  readonly changeIds: number;
  readonly auditEntries: number;
  readonly lostHosts: number;
  /** Pools of which shares may be granted at one time. */
  readonly grantablePools: number;
  readonly claims: number;
  readonly claimsPerWorkspace: number;
  /** Characters of claim answers kept for replay. */
  readonly claimAnswerLength: number;
  readonly deferred: number;
  /** Characters of deferred requests and answers. */
  readonly deferredLength: number;
  /** Characters set aside for the answer of each accepted request. */
  readonly deferredAnswerReserve: number;
}

/** Bounds used in production. */
export const DEFAULT_LIMITS: Limits = {
  versions: 20,
  keys: 100_000,
  failureDomains: 1_000,
  quarantines: 1_000,
  replicas: 50_000,
  changeIds: 10_000,
  auditEntries: 50_000,
  lostHosts: 10_000,
  grantablePools: 50_000,
  claims: 100_000,
  claimsPerWorkspace: 50_000,
  claimAnswerLength: 64 * 1024 * 1024,
  deferred: 100_000,
  deferredLength: 128 * 1024 * 1024,
  deferredAnswerReserve: 4 * 1024,
};

/** How long ended claims and answers are kept, in milliseconds. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;
