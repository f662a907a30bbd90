import * as protocol from "@ebonypath/protocol";
import type * as stateComponents from "./components.ts";
import type * as operatorCommands from "./operator_commands.ts";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Components = stateComponents.StateComponents;
type CommandResult = protocol.state.CommandResult;
type SystemCommand = Exclude<
  protocol.state.Command,
  operatorCommands.OperatorCommand
>;

/** Applies a command that a host or the leader proposes without an operator. */
export function apply(
  components: Components,
  command: SystemCommand,
  position: types.LogPosition,
): types.ApplyResult {
  switch (command.kind) {
    case "quarantine":
      return components.quarantines.add(command, position);
    case "advance-time":
      return advanceTime(components, position);
    default:
      return results.withoutViewChanges(
        applyWithoutViewChanges(components, command, position),
      );
  }
}

/** Applies a command that leaves the fleet view unchanged. */
function applyWithoutViewChanges(
  components: Components,
  command: Exclude<SystemCommand, { kind: "quarantine" | "advance-time" }>,
  position: types.LogPosition,
): CommandResult {
  switch (command.kind) {
    case "decide-replica":
      return components.replicas.decide(command, position);
    case "decide-unload":
      return components.replicas.unload(command, position);
    case "forget-replica":
      return components.replicas.forget(command, position);
    case "open-claim":
      if (components.lostHosts.has(command)) return { kind: "host-lost" };
      return components.claims.open(command, position);
    case "close-claim":
      return components.claims.close(command, position);
    case "release-claim":
      return components.claims.release(command, position);
    case "lose-host":
      return loseHost(components, command, position);
    case "set-grantable":
      return components.grantable.set(command, position);
    case "accept-deferred":
      return acceptDeferred(components, command, position);
    case "assign-deferred":
      if (components.lostHosts.has(command)) return { kind: "host-lost" };
      return components.deferred.assign(command, position);
    case "return-deferred":
      return components.deferred.return(command, position);
    case "finish-deferred":
      return components.deferred.finish(command, position);
    case "cancel-deferred":
      return components.deferred.cancel(command, position);
    default:
      return protocol.errors.assertNever(command);
  }
}

function acceptDeferred(
  components: Components,
  command: Extract<SystemCommand, { kind: "accept-deferred" }>,
  position: types.LogPosition,
): CommandResult {
  const name = command.request.workspace;
  const workspace = components.versions.workspace(name);
  if (workspace === undefined) {
    return results.invalid(`there is no workspace ${name}`);
  }
  return components.deferred.accept(command, position, workspace.deferredLimit);
}

/**
 * Marks a host incarnation as lost. Its open claims become unknown, and its
 * deferred requests are returned to the queue or ended.
 */
function loseHost(
  components: Components,
  owner: types.Owner,
  position: types.LogPosition,
): CommandResult {
  components.lostHosts.add(owner);
  components.claims.loseHost(owner, position.timeMs);
  components.deferred.loseHost(owner, position.timeMs);
  return results.done(position.index);
}

/** Expires whatever is due at the log time of the command. */
function advanceTime(
  components: Components,
  position: types.LogPosition,
): types.ApplyResult {
  components.claims.expire(position.timeMs);
  components.deferred.expire(position.timeMs);
  const changes = components.quarantines.expire(position.timeMs);
  return { result: results.done(position.index), changes };
}
