import * as protocol from "@ebonypath/protocol";
import type * as operatorChanges from "./operator_commands.ts";
import type * as partsModule from "./components.ts";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Parts = partsModule.Parts;
type CommandResult = protocol.state.CommandResult;
type WorkCommand = Exclude<
  protocol.state.Command,
  operatorChanges.OperatorCommand
>;

/** Applies a command that the system itself proposes. */
export function apply(
  parts: Parts,
  command: WorkCommand,
  position: types.LogPosition,
): types.ApplyResult {
  switch (command.kind) {
    case "quarantine":
      return parts.quarantines.add(command, position);
    case "advance-time":
      return advanceTime(parts, position);
    default:
      return results.quiet(applyQuietly(parts, command, position));
  }
}

/** Applies a command that changes no view. */
function applyQuietly(
  parts: Parts,
  command: Exclude<WorkCommand, { kind: "quarantine" | "advance-time" }>,
  position: types.LogPosition,
): CommandResult {
  switch (command.kind) {
    case "decide-replica":
      return parts.replicas.decide(command, position);
    case "decide-unload":
      return parts.replicas.unload(command, position);
    case "forget-replica":
      return parts.replicas.forget(command, position);
    case "open-claim":
      if (parts.lostHosts.has(command)) return { kind: "host-lost" };
      return parts.claims.open(command, position);
    case "close-claim":
      return parts.claims.close(command, position);
    case "release-claim":
      return parts.claims.release(command, position);
    case "lose-host":
      return loseHost(parts, command, position);
    case "set-grantable":
      return parts.grantable.set(command, position);
    case "accept-deferred":
      return accept(parts, command, position);
    case "assign-deferred":
      if (parts.lostHosts.has(command)) return { kind: "host-lost" };
      return parts.deferred.assign(command, position);
    case "return-deferred":
      return parts.deferred.return(command, position);
    case "finish-deferred":
      return parts.deferred.finish(command, position);
    case "cancel-deferred":
      return parts.deferred.cancel(command, position);
    default:
      return protocol.errors.assertNever(command);
  }
}

function accept(
  parts: Parts,
  command: Extract<WorkCommand, { kind: "accept-deferred" }>,
  position: types.LogPosition,
): CommandResult {
  const name = command.request.workspace;
  const workspace = parts.versions.workspace(name);
  if (workspace === undefined) {
    return results.invalid(`there is no workspace ${name}`);
  }
  return parts.deferred.accept(command, position, workspace.deferredLimit);
}

function loseHost(
  parts: Parts,
  owner: types.Owner,
  position: types.LogPosition,
): CommandResult {
  parts.lostHosts.add(owner);
  parts.claims.loseHost(owner, position.timeMs);
  parts.deferred.loseHost(owner, position.timeMs);
  return results.done(position.index);
}

function advanceTime(
  parts: Parts,
  position: types.LogPosition,
): types.ApplyResult {
  parts.claims.expire(position.timeMs);
  parts.deferred.expire(position.timeMs);
  const changes = parts.quarantines.expire(position.timeMs);
  return { result: results.done(position.index), changes };
}
