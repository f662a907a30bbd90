import * as protocol from "@ebonypath/protocol";
import * as audit from "./audit.ts";
import type * as stateComponents from "./components.ts";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Components = stateComponents.StateComponents;

/** A command of an operator; its change id identifies resends. */
export type OperatorCommand = Extract<
  protocol.state.Command,
  { changeId: string }
>;

/** Returns whether a command comes from an operator. */
export function isOperatorCommand(
  command: protocol.state.Command,
): command is OperatorCommand {
  return "changeId" in command;
}

/**
 * Returns the first result of a change that was applied before, or `undefined`
 * for a new change id. A change id that is reused for another command is
 * invalid: two changes must not share one result.
 */
export function earlierResult(
  components: Components,
  command: OperatorCommand,
): protocol.state.CommandResult | undefined {
  const earlier = components.changes.get(command.changeId);
  if (earlier === undefined) return undefined;
  return earlier.contentDigest === computeContentDigest(command)
    ? earlier.result
    : results.invalid("the change id belongs to another change");
}

/**
 * Applies an operator's change unless its change id was applied before. Every
 * result is kept for resends; only changes with the result `done` are recorded
 * in the audit trail.
 */
export function apply(
  components: Components,
  command: OperatorCommand,
  position: types.LogPosition,
): types.ApplyResult {
  const contentDigest = computeContentDigest(command);
  const { changeId, operator } = command;
  const earlier = earlierResult(components, command);
  if (earlier !== undefined) return results.withoutViewChanges(earlier);
  const applied = dispatch(components, command, position);
  const result = applied.result;
  components.changes.add({ changeId, contentDigest, result });
  if (result.kind === "done") {
    const action = command.kind;
    const subject = auditSubject(command);
    const entry = { ...position, operator, changeId, action, subject };
    components.audit.append({ ...entry, contentDigest });
  }
  return applied;
}

function dispatch(
  components: Components,
  command: OperatorCommand,
  position: types.LogPosition,
): types.ApplyResult {
  switch (command.kind) {
    case "publish":
      return components.versions.publish(command, position);
    case "grant-key":
      return grantKey(components, command, position);
    case "withdraw-key":
      return components.keys.withdraw(command, position);
    case "withdraw-failure-domain":
      return components.failureDomains.withdraw(
        command.failureDomain,
        position,
      );
    case "restore-failure-domain":
      return components.failureDomains.restore(command.failureDomain, position);
    case "release-quarantine":
      return components.quarantines.release(command, position);
    case "note-membership":
      return results.withoutViewChanges(
        command.refusal ?? results.done(position.index),
      );
    default:
      return protocol.errors.assertNever(command);
  }
}

/**
 * Digests what the operator asked for, without the verdict or refusal added by
 * the leader: a leader of another build must recognise the resend too.
 */
function computeContentDigest(command: OperatorCommand): string {
  const requested = { ...command, refusal: undefined, verdict: undefined };
  return audit.sha256Hex(JSON.stringify(requested));
}

function grantKey(
  components: Components,
  command: Extract<OperatorCommand, { kind: "grant-key" }>,
  position: types.LogPosition,
): types.ApplyResult {
  if (components.versions.workspace(command.workspace) === undefined) {
    const reason = `there is no workspace ${command.workspace}`;
    return results.withoutViewChanges(results.invalid(reason));
  }
  return components.keys.grant(command, position);
}

function auditSubject(command: OperatorCommand): string {
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
