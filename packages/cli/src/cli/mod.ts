/**
 * All commands of the command line.
 *
 * @module
 */
import * as audit from "./audit/mod.ts";
import * as explain from "./explain/mod.ts";
import * as failureDomain from "./failure_domain/mod.ts";
import * as key from "./key/mod.ts";
import * as members from "./members/mod.ts";
import * as publish from "./publish/mod.ts";
import * as quarantine from "./quarantine/mod.ts";
import * as rollback from "./rollback/mod.ts";
import * as status from "./status/mod.ts";
import type * as types from "./types.ts";
import * as validate from "./validate/mod.ts";
import * as version from "./version/mod.ts";

export * from "./types.ts";

/** Every command, in the order of the help. */
export const COMMANDS: readonly types.Command[] = [
  validate.VALIDATE,
  publish.PUBLISH,
  rollback.ROLLBACK,
  ...key.KEY_COMMANDS,
  ...failureDomain.FAILURE_DOMAIN_COMMANDS,
  ...members.MEMBERS_COMMANDS,
  status.STATUS,
  explain.EXPLAIN,
  audit.AUDIT,
  ...quarantine.QUARANTINE_COMMANDS,
  version.VERSION,
];
