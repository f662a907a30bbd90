/**
 * The replicated state machine and the view of it that entry hosts follow.
 *
 * @module
 */
export {
  type AuditEntry,
  FIRST_DIGEST,
  type Verification,
  verifyAudit,
} from "./audit.ts";
export * from "./catalogue.ts";
export { type Claim, type Phase } from "./claims.ts";
export * from "./deferred_types.ts";
export { type GrantablePools } from "./grantable_pools.ts";
export { type OperatorCommand } from "./operator_changes.ts";
export { type Replica } from "./replicas.ts";
export { refusalAnswer } from "./results.ts";
export * from "./state.ts";
export * from "./types.ts";
export { judge } from "./verdicts.ts";
export { type Version } from "./versions.ts";
export * from "./view.ts";
