import * as protocol from "@ebonypath/protocol";
import * as audit from "./audit.ts";
import type * as partsModule from "./components.ts";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Parts = partsModule.Parts;

/** A command of an operator. */
export type OperatorCommand = Extract<
  protocol.state.Command,
  { changeId: string }
>;

/** Whether a command comes from an operator. */
export function isOperatorCommand(
  command: protocol.state.Command,
): command is OperatorCommand {
  return "changeId" in command;
}

/** The first result of a change id; `undefined` for a new one. */
export function earlierResult(
  parts: Parts,
  command: OperatorCommand,
): protocol.state.CommandResult | undefined {
  const earlier = parts.changes.get(command.changeId);
  if (earlier === undefined) return undefined;
  return earlier.contentDigest === digestOf(command)
    ? earlier.result
    : results.invalid("the change id belongs to another change");
}

/** Applies an operator's change once, and records it in the audit trail. */
export function apply(
  parts: Parts,
  command: OperatorCommand,
  position: types.LogPosition,
): types.ApplyResult {
  const contentDigest = digestOf(command);
  const { changeId, operator } = command;
  const earlier = earlierResult(parts, command);
  if (earlier !== undefined) return results.quiet(earlier);
  const applied = change(parts, command, position);
  const result = applied.result;
  parts.changes.add({ changeId, contentDigest, result });
  if (result.kind === "done") {
    const action = command.kind;
    const subject = subjectOf(command);
    const entry = { ...position, operator, changeId, action, subject };
    parts.audit.add({ ...entry, contentDigest });
  }
  return applied;
}

function change(
  parts: Parts,
  command: OperatorCommand,
  position: types.LogPosition,
): types.ApplyResult {
  switch (command.kind) {
    case "publish":
      return parts.versions.publish(command, position);
    case "grant-key":
      return grantKey(parts, command, position);
    case "withdraw-key":
      return parts.keys.withdraw(command, position);
    case "withdraw-failure-domain":
      return parts.failureDomains.withdraw(command.failureDomain, position);
    case "restore-failure-domain":
      return parts.failureDomains.restore(command.failureDomain, position);
    case "release-quarantine":
      return parts.quarantines.release(command, position);
    case "note-membership":
      return results.quiet(command.refusal ?? results.done(position.index));
    default:
      return protocol.errors.assertNever(command);
  }
}

/** Of what the operator asked for, without what a leader said of it. */
function digestOf(command: OperatorCommand): string {
  const asked = { ...command, refusal: undefined, verdict: undefined };
  return audit.sha256Hex(JSON.stringify(asked));
}

function grantKey(
  parts: Parts,
  command: Extract<OperatorCommand, { kind: "grant-key" }>,
  position: types.LogPosition,
): types.ApplyResult {
  if (parts.versions.workspace(command.workspace) === undefined) {
    const reason = `there is no workspace ${command.workspace}`;
    return results.quiet(results.invalid(reason));
  }
  return parts.keys.grant(command, position);
}

function subjectOf(command: OperatorCommand): string {
  switch (command.kind) {
    case "publish":
      return `base ${command.base}`;
    case "grant-key":
    case "withdraw-key":
      return command.keyId;
    case "withdraw-failure-domain":
    case "restore-failure-domain":
      return command.failureDomain;
    case "release-quarantine":
      return command.fingerprint;
    case "note-membership":
      return command.detail;
    default:
      return protocol.errors.assertNever(command);
  }
}
