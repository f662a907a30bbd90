import type * as protocol from "@ebonypath/protocol";

/** Outcome of applying one log entry. */
export interface ApplyResult {
  readonly result: protocol.state.CommandResult;
  /** Changes of the fleet view, to be sent to the entry hosts. */
  readonly changes: readonly protocol.state.ViewChange[];
}

/** Log index and log time at which a command is applied. */
export interface LogPosition {
  readonly index: number;
  /** Log time in milliseconds; it never decreases. */
  readonly timeMs: number;
}

/**
 * A host process, identified by its host and incarnation. It can own claims and
 * assignments of deferred requests.
 */
export interface Owner {
  readonly host: string;
  readonly hostIncarnation: string;
}

/**
 * Bounds of the replicated state. They decide results, so that they have to be
 * equal on all voters.
 */
export interface Limits {
  /** Published configuration versions kept for rollback. */
  readonly versions: number;
  readonly keys: number;
  readonly failureDomains: number;
  readonly quarantines: number;
  readonly replicas: number;
  /** Operator changes whose results are kept for resends. */
  readonly changeIds: number;
  readonly auditEntries: number;
  readonly lostHosts: number;
  /** Pools that may be grantable at one time. */
  readonly grantablePools: number;
  readonly claims: number;
  readonly claimsPerWorkspace: number;
  /** Total length of the answers kept for replay, in characters. */
  readonly claimAnswerLength: number;
  readonly deferred: number;
  /** Total length of deferred requests and their answers, in characters. */
  readonly deferredLength: number;
  /** Length reserved for the answer of each accepted request, in characters. */
  readonly deferredAnswerReserve: number;
}

/** Limits used in production. */
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

/** How long ended claims and answers are kept: 24 hours, in milliseconds. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;
