/**
 * The replicated state machine, and the copy of its fleet view on entry hosts.
 *
 * @module
 */
export {
  type AuditEntry,
  type AuditVerification,
  GENESIS_DIGEST,
  verifyAuditTrail,
} from "./audit.ts";
export * from "./catalogue.ts";
export { type Claim, type ClaimPhase } from "./claims.ts";
export * from "./deferred_request.ts";
export * from "./fleet_view_cache.ts";
export { type GrantablePools } from "./grantable_pools.ts";
export { type OperatorCommand } from "./operator_commands.ts";
export { type Replica } from "./replicas.ts";
export { refusalAnswer } from "./results.ts";
export * from "./state_machine.ts";
export * from "./types.ts";
export { addVerdict } from "./verdicts.ts";
export { type ConfigurationVersion } from "./versions.ts";
