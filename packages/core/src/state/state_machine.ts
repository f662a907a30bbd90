import type * as protocol from "@ebonypath/protocol";
import type * as audit from "./audit.ts";
import * as catalogue from "./catalogue.ts";
import type * as claims from "./claims.ts";
import * as components from "./components.ts";
import type * as deferred from "./deferred_request.ts";
import type * as grantablePools from "./grantable_pools.ts";
import * as operatorCommands from "./operator_commands.ts";
import type * as replicas from "./replicas.ts";
import * as results from "./results.ts";
import * as snapshot from "./snapshot.ts";
import * as systemCommands from "./system_commands.ts";
import * as types from "./types.ts";
import type * as versions from "./versions.ts";

/**
 * The replicated state machine: its state is a deterministic function of the
 * applied log.
 *
 * @example
 * ```ts
 * const state = new StateMachine();
 * const { result, changes } = state.apply(1, { timeMs, command });
 * ```
 */
export class StateMachine {
  readonly #limits: types.Limits;
  readonly #components: components.StateComponents;
  #index: number;
  #timeMs: number;
  #catalogue = catalogue.EMPTY_CATALOGUE;
  /** Version that the catalogue was built from; -1 if none was built. */
  #catalogueVersion = -1;

  constructor(
    limits: types.Limits = types.DEFAULT_LIMITS,
    saved?: snapshot.Snapshot,
  ) {
    this.#limits = limits;
    this.#components = components.create(limits, saved);
    this.#index = saved?.index ?? 0;
    this.#timeMs = saved?.timeMs ?? 0;
  }

  /**
   * Restores a state machine from a serialised snapshot.
   *
   * @example
   * ```ts
   * const state = StateMachine.fromSnapshot(text);
   * ```
   */
  static fromSnapshot(
    text: string,
    limits: types.Limits = types.DEFAULT_LIMITS,
  ): StateMachine {
    return new StateMachine(limits, snapshot.parse(text));
  }

  /** Log index of the last applied entry. */
  get index(): number {
    return this.#index;
  }

  /** Log time in milliseconds: the largest time stamp applied so far. */
  get timeMs(): number {
    return this.#timeMs;
  }

  get limits(): types.Limits {
    return this.#limits;
  }

  /**
   * Applies the log entry at `index`, which must be above the last applied one.
   *
   * @example
   * ```ts
   * state.apply(7, { timeMs: 1_000, command: { kind: "advance-time" } });
   * ```
   */
  apply(
    index: number,
    stamped: protocol.state.TimestampedCommand,
  ): types.ApplyResult {
    if (index <= this.#index) {
      throw new RangeError(
        `log entry ${index} can't be applied after entry ${this.#index}`,
      );
    }
    this.#index = index;
    this.#timeMs = Math.max(this.#timeMs, stamped.timeMs);
    const position = { index, timeMs: this.#timeMs };
    const { command } = stamped;
    return operatorCommands.isOperatorCommand(command)
      ? operatorCommands.apply(this.#components, command, position)
      : systemCommands.apply(this.#components, command, position);
  }

  /** Returns the first result of an operator's change; `undefined` if new. */
  earlierResult(
    command: operatorCommands.OperatorCommand,
  ): protocol.state.CommandResult | undefined {
    return operatorCommands.earlierResult(this.#components, command);
  }

  /** Serialises the whole state; `fromSnapshot` restores it. */
  toSnapshot(): string {
    const position = { index: this.#index, timeMs: this.#timeMs };
    return snapshot.render(components.toSnapshot(this.#components, position));
  }

  /** Returns the part of the state that every entry host follows. */
  view(): protocol.state.FleetView {
    const { version, configuration } = this.#components.versions.current();
    return {
      index: this.#index,
      version,
      configuration,
      keys: this.#components.keys.list(),
      withdrawnFailureDomains: this.#components.failureDomains.list(),
      quarantines: this.#components.quarantines.list(),
    };
  }

  /** Returns the current version of the configuration. */
  currentVersion(): versions.ConfigurationVersion {
    return this.#components.versions.current();
  }

  /** Returns the catalogue of the current version, built on first use. */
  catalogue(): catalogue.Catalogue {
    const { version, configuration } = this.currentVersion();
    if (version !== this.#catalogueVersion) {
      this.#catalogueVersion = version;
      this.#catalogue = new catalogue.Catalogue(configuration);
    }
    return this.#catalogue;
  }

  /** Finds one of the versions kept for rollback. */
  findVersion(version: number): versions.ConfigurationVersion | undefined {
    return this.#components.versions.get(version);
  }

  /** Lists the versions kept for rollback, oldest first. */
  versions(): readonly versions.ConfigurationVersion[] {
    return this.#components.versions.list();
  }

  /** Finds an API key by the digest of its text. */
  key(digest: string): protocol.state.Key | undefined {
    return this.#components.keys.get(digest);
  }

  withdrawnFailureDomains(): string[] {
    return this.#components.failureDomains.list();
  }

  /** Lists the replica decisions, oldest first. */
  replicas(): replicas.Replica[] {
    return this.#components.replicas.list();
  }

  replica(index: number): replicas.Replica | undefined {
    return this.#components.replicas.get(index);
  }

  /**
   * Pools of which shares may be granted; `undefined` if a leader of a build
   * that didn't track them may have granted shares of any pool.
   */
  grantablePools(): grantablePools.GrantablePools | undefined {
    return this.#components.grantable.pools;
  }

  claim(workspace: string, key: string): claims.Claim | undefined {
    return this.#components.claims.get(workspace, key);
  }

  openClaimsOf(owner: types.Owner): claims.Claim[] {
    return this.#components.claims.openClaimsOf(owner);
  }

  deferred(id: string): deferred.DeferredRequest | undefined {
    return this.#components.deferred.get(id);
  }

  /** Lists deferred requests that wait for an assignment, oldest first. */
  waitingDeferred(): deferred.WaitingDeferredRequest[] {
    return this.#components.deferred.waiting();
  }

  /** Lists assigned deferred requests, of all owners or of one. */
  assignedDeferred(owner?: types.Owner): deferred.AssignedDeferredRequest[] {
    const assigned = this.#components.deferred.assigned();
    if (owner === undefined) return assigned;
    return assigned.filter(({ phase }) =>
      results.isSameOwner(phase.assignment, owner)
    );
  }

  /** Lists the owners of open claims and of assigned deferred requests. */
  owners(): types.Owner[] {
    const owners = [
      ...this.#components.claims.openOwners(),
      ...this.#components.deferred.assigned().map(({ phase }) =>
        phase.assignment
      ),
    ];
    const byName = new Map(owners.map(({ host, hostIncarnation }) => [
      `${host}/${hostIncarnation}`,
      { host, hostIncarnation },
    ]));
    return [...byName.values()];
  }

  /** Returns whether `advance-time` at `timeMs` would expire anything. */
  isExpiryDue(timeMs: number): boolean {
    const { claims, deferred, quarantines } = this.#components;
    return claims.isDue(timeMs) || deferred.isDue(timeMs) ||
      quarantines.isDue(timeMs);
  }

  /** Returns whether a host incarnation was declared lost. */
  isHostLost(owner: types.Owner): boolean {
    return this.#components.lostHosts.has(owner);
  }

  /** Returns up to `limit` audit entries above index `after`, oldest first. */
  auditEntries(after: number, limit: number): audit.AuditEntry[] {
    return this.#components.audit.list(after, limit);
  }
}
