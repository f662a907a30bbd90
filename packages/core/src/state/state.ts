import * as protocol from "@ebonypath/protocol";
import * as audit from "./audit.ts";
import * as changeLog from "./change_log.ts";
import * as claims from "./claims.ts";
import * as deferred from "./deferred.ts";
import * as failureDomains from "./failure_domains.ts";
import * as keys from "./keys.ts";
import * as lostHosts from "./lost_hosts.ts";
import * as quarantines from "./quarantines.ts";
import * as replicas from "./replicas.ts";
import * as results from "./results.ts";
import * as snapshot from "./snapshot.ts";
import * as types from "./types.ts";
import * as versions from "./versions.ts";

type Command = protocol.state.Command;
type OperatorCommand = Extract<Command, { changeId: string }>;
type WorkCommand = Exclude<Command, OperatorCommand>;

/**
 * The replicated state: a deterministic function of the applied log.
 *
 * @example
 * ```ts
 * const state = new State();
 * const { result, changes } = state.apply(1, { timeMs, command });
 * ```
 */
export class State {
  readonly #limits: types.Limits;
  readonly #versions: versions.Versions;
  readonly #keys: keys.Keys;
  readonly #failureDomains: failureDomains.FailureDomains;
  readonly #quarantines: quarantines.Quarantines;
  readonly #replicas: replicas.Replicas;
  readonly #claims: claims.Claims;
  readonly #deferred: deferred.DeferredRequests;
  readonly #lostHosts: lostHosts.LostHosts;
  readonly #changes: changeLog.ChangeLog;
  readonly #audit: audit.AuditTrail;
  #index: number;
  #timeMs: number;

  constructor(
    limits: types.Limits = types.DEFAULT_LIMITS,
    saved?: snapshot.Snapshot,
  ) {
    this.#limits = limits;
    this.#index = saved?.index ?? 0;
    this.#timeMs = saved?.timeMs ?? 0;
    this.#versions = new versions.Versions(limits, saved?.versions);
    this.#keys = new keys.Keys(limits, saved?.keys);
    this.#failureDomains = new failureDomains.FailureDomains(
      limits,
      saved?.failureDomains,
    );
    this.#quarantines = new quarantines.Quarantines(limits, saved?.quarantines);
    this.#replicas = new replicas.Replicas(limits, saved?.replicas);
    this.#claims = new claims.Claims(limits, saved?.claims);
    this.#deferred = new deferred.DeferredRequests(limits, saved?.deferred);
    this.#lostHosts = new lostHosts.LostHosts(limits, saved?.lostHosts);
    this.#changes = new changeLog.ChangeLog(limits, saved?.changes);
    this.#audit = new audit.AuditTrail(limits, saved?.audit);
  }

  /**
   * Restores a state from the text of a snapshot.
   *
   * @example
   * ```ts
   * const state = State.fromSnapshot(text);
   * ```
   */
  static fromSnapshot(
    text: string,
    limits: types.Limits = types.DEFAULT_LIMITS,
  ): State {
    return new State(limits, snapshot.parse(text));
  }

  /** Index of the last applied entry. */
  get index(): number {
    return this.#index;
  }

  /** Log time in milliseconds. */
  get timeMs(): number {
    return this.#timeMs;
  }

  /** The limits that this state works under. */
  get limits(): types.Limits {
    return this.#limits;
  }

  /**
   * Applies the entry at `index`, which has to be above the last one.
   *
   * @example
   * ```ts
   * state.apply(7, { timeMs: 1_000, command: { kind: "advance-time" } });
   * ```
   */
  apply(
    index: number,
    stamped: protocol.state.StampedCommand,
  ): types.Applied {
    if (index <= this.#index) {
      throw new RangeError(`entry ${index} is applied after ${this.#index}`);
    }
    this.#index = index;
    this.#timeMs = Math.max(this.#timeMs, stamped.timeMs);
    const position = { index, timeMs: this.#timeMs };
    return isOperatorCommand(stamped.command)
      ? this.#applyChange(stamped.command, position)
      : this.#applyWork(stamped.command, position);
  }

  /** Renders the whole state; `fromSnapshot` restores it. */
  toSnapshot(): string {
    return snapshot.render({
      index: this.#index,
      timeMs: this.#timeMs,
      versions: this.#versions.toSnapshot(),
      keys: this.#keys.toSnapshot(),
      failureDomains: this.#failureDomains.list(),
      quarantines: this.#quarantines.list(),
      replicas: this.#replicas.list(),
      claims: this.#claims.toSnapshot(),
      deferred: this.#deferred.toSnapshot(),
      lostHosts: this.#lostHosts.toSnapshot(),
      changes: this.#changes.toSnapshot(),
      audit: this.#audit.toSnapshot(),
    });
  }

  /** The part that every entry host follows. */
  view(): protocol.state.FleetView {
    const { version, configuration } = this.#versions.current();
    return {
      index: this.#index,
      version,
      configuration,
      keys: this.#keys.list(),
      withdrawnFailureDomains: this.#failureDomains.list(),
      quarantines: this.#quarantines.list(),
    };
  }

  /** The version in force. */
  current(): versions.Version {
    return this.#versions.current();
  }

  /** One of the newest published versions. */
  configuration(version: number): versions.Version | undefined {
    return this.#versions.get(version);
  }

  /** The versions kept for rollback, oldest first. */
  versions(): readonly versions.Version[] {
    return this.#versions.list();
  }

  key(digest: string): protocol.state.Key | undefined {
    return this.#keys.get(digest);
  }

  withdrawnFailureDomains(): string[] {
    return this.#failureDomains.list();
  }

  /** All replica decisions, oldest first. */
  replicas(): replicas.Replica[] {
    return this.#replicas.list();
  }

  replica(index: number): replicas.Replica | undefined {
    return this.#replicas.get(index);
  }

  claim(workspace: string, key: string): claims.Claim | undefined {
    return this.#claims.get(workspace, key);
  }

  openClaimsOf(owner: types.Owner): claims.Claim[] {
    return this.#claims.openClaimsOf(owner);
  }

  deferred(id: string): deferred.Deferred | undefined {
    return this.#deferred.get(id);
  }

  /** Deferred requests that wait for an assignment, oldest first. */
  pendingDeferred(): deferred.Waiting[] {
    return this.#deferred.waiting();
  }

  /** Deferred requests that are assigned, of all hosts or of one. */
  assignedDeferred(owner?: types.Owner): deferred.Assigned[] {
    const assigned = this.#deferred.assigned();
    if (owner === undefined) return assigned;
    return assigned.filter(({ phase }) =>
      results.sameOwner(phase.assignment, owner)
    );
  }

  isLost(owner: types.Owner): boolean {
    return this.#lostHosts.has(owner);
  }

  /** Up to `limit` audit entries with an index above `after`, oldest first. */
  audit(after: number, limit: number): audit.AuditEntry[] {
    return this.#audit.list(after, limit);
  }

  #applyChange(
    command: OperatorCommand,
    position: types.Position,
  ): types.Applied {
    const contentDigest = audit.digestOf(JSON.stringify(command));
    const { changeId, operator } = command;
    const earlier = this.#changes.get(changeId);
    if (earlier !== undefined) {
      return results.quiet(
        earlier.contentDigest === contentDigest
          ? earlier.result
          : results.invalid("the change id belongs to another change"),
      );
    }
    const applied = this.#change(command, position);
    const result = applied.result;
    this.#changes.add({ changeId, contentDigest, result });
    if (result.kind === "done") {
      const action = command.kind;
      const subject = subjectOf(command);
      const entry = { ...position, operator, changeId, action, subject };
      this.#audit.add({ ...entry, contentDigest });
    }
    return applied;
  }

  #change(command: OperatorCommand, position: types.Position): types.Applied {
    switch (command.kind) {
      case "publish":
        return this.#versions.publish(command, position);
      case "grant-key":
        return this.#grantKey(command, position);
      case "withdraw-key":
        return this.#keys.withdraw(command, position);
      case "withdraw-failure-domain":
        return this.#failureDomains.withdraw(command.failureDomain, position);
      case "restore-failure-domain":
        return this.#failureDomains.restore(command.failureDomain, position);
      case "release-quarantine":
        return this.#quarantines.release(command, position);
      case "note-membership":
        return results.quiet(results.done(position.index));
      default:
        return protocol.errors.assertNever(command);
    }
  }

  #applyWork(command: WorkCommand, position: types.Position): types.Applied {
    switch (command.kind) {
      case "quarantine":
        return this.#quarantines.add(command, position);
      case "advance-time":
        return this.#advanceTime(position);
      default:
        return results.quiet(this.#work(command, position));
    }
  }

  #work(
    command: Exclude<WorkCommand, { kind: "quarantine" | "advance-time" }>,
    position: types.Position,
  ): protocol.state.CommandResult {
    switch (command.kind) {
      case "decide-replica":
        return this.#replicas.decide(command, position);
      case "decide-unload":
        return this.#replicas.unload(command, position);
      case "forget-replica":
        return this.#replicas.forget(command, position);
      case "open-claim":
        if (this.#lostHosts.has(command)) return { kind: "host-lost" };
        return this.#claims.open(command, position);
      case "close-claim":
        return this.#claims.close(command, position);
      case "release-claim":
        return this.#claims.release(command, position);
      case "lose-host":
        return this.#loseHost(command, position);
      case "accept-deferred":
        return this.#accept(command, position);
      case "assign-deferred":
        if (this.#lostHosts.has(command)) return { kind: "host-lost" };
        return this.#deferred.assign(command, position);
      case "return-deferred":
        return this.#deferred.return(command, position);
      case "finish-deferred":
        return this.#deferred.finish(command, position);
      case "cancel-deferred":
        return this.#deferred.cancel(command, position);
      default:
        return protocol.errors.assertNever(command);
    }
  }

  #grantKey(
    command: Extract<Command, { kind: "grant-key" }>,
    position: types.Position,
  ): types.Applied {
    if (this.#versions.workspace(command.workspace) === undefined) {
      const reason = `there is no workspace ${command.workspace}`;
      return results.quiet(results.invalid(reason));
    }
    return this.#keys.grant(command, position);
  }

  #accept(
    command: Extract<Command, { kind: "accept-deferred" }>,
    position: types.Position,
  ): protocol.state.CommandResult {
    const name = command.request.workspace;
    const workspace = this.#versions.workspace(name);
    if (workspace === undefined) {
      return results.invalid(`there is no workspace ${name}`);
    }
    return this.#deferred.accept(command, position, workspace.deferredLimit);
  }

  #loseHost(
    owner: types.Owner,
    position: types.Position,
  ): protocol.state.CommandResult {
    this.#lostHosts.add(owner);
    this.#claims.loseHost(owner, position.timeMs);
    this.#deferred.loseHost(owner, position.timeMs);
    return results.done(position.index);
  }

  #advanceTime(position: types.Position): types.Applied {
    this.#claims.expire(position.timeMs);
    this.#deferred.expire(position.timeMs);
    const changes = this.#quarantines.expire(position.timeMs);
    return { result: results.done(position.index), changes };
  }
}

function isOperatorCommand(command: Command): command is OperatorCommand {
  return "changeId" in command;
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
