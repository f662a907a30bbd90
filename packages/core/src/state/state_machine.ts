import type * as protocol from "@ebonypath/protocol";
import type * as audit from "./audit.ts";
import type * as claims from "./claims.ts";
import type * as deferred from "./deferred_request.ts";
import * as catalogue from "./catalogue.ts";
import type * as grantablePools from "./grantable_pools.ts";
import * as operatorChanges from "./operator_commands.ts";
import * as parts from "./components.ts";
import type * as replicas from "./replicas.ts";
import * as results from "./results.ts";
import * as snapshot from "./snapshot.ts";
import * as types from "./types.ts";
import type * as versions from "./versions.ts";
import * as work from "./system_commands.ts";

/**
 * The replicated state: a deterministic function of the applied log.
 *
 * @example
 * ```ts
 * const state = new State();
 * const { result, changes } = state.apply(1, { timeMs, command });
 * ```
 */
export class StateMachine {
  readonly #limits: types.Limits;
  readonly #parts: parts.Parts;
  #index: number;
  #timeMs: number;
  #catalogue = catalogue.EMPTY_CATALOGUE;
  /** Version that the catalogue was made of; none at first. */
  #indexedVersion = -1;

  constructor(
    limits: types.Limits = types.DEFAULT_LIMITS,
    saved?: snapshot.Snapshot,
  ) {
    this.#limits = limits;
    this.#parts = parts.create(limits, saved);
    this.#index = saved?.index ?? 0;
    this.#timeMs = saved?.timeMs ?? 0;
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
  ): StateMachine {
    return new StateMachine(limits, snapshot.parse(text));
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
    stamped: protocol.state.TimestampedCommand,
  ): types.ApplyResult {
    if (index <= this.#index) {
      throw new RangeError(`entry ${index} is applied after ${this.#index}`);
    }
    this.#index = index;
    this.#timeMs = Math.max(this.#timeMs, stamped.timeMs);
    const position = { index, timeMs: this.#timeMs };
    const { command } = stamped;
    return operatorChanges.isOperatorCommand(command)
      ? operatorChanges.apply(this.#parts, command, position)
      : work.apply(this.#parts, command, position);
  }

  /** The first result of an operator's change; `undefined` for a new one. */
  earlierResult(
    command: operatorChanges.OperatorCommand,
  ): protocol.state.CommandResult | undefined {
    return operatorChanges.earlierResult(this.#parts, command);
  }

  /** Renders the whole state; `fromSnapshot` restores it. */
  toSnapshot(): string {
    const position = { index: this.#index, timeMs: this.#timeMs };
    return snapshot.render(parts.toSnapshot(this.#parts, position));
  }

  /** The part that every entry host follows. */
  view(): protocol.state.FleetView {
    const { version, configuration } = this.#parts.versions.current();
    return {
      index: this.#index,
      version,
      configuration,
      keys: this.#parts.keys.list(),
      withdrawnFailureDomains: this.#parts.failureDomains.list(),
      quarantines: this.#parts.quarantines.list(),
    };
  }

  /** The version in force. */
  currentVersion(): versions.ConfigurationVersion {
    return this.#parts.versions.current();
  }

  /** Indexes of the version in force. */
  catalogue(): catalogue.Catalogue {
    const { version, configuration } = this.currentVersion();
    if (version !== this.#indexedVersion) {
      this.#indexedVersion = version;
      this.#catalogue = new catalogue.Catalogue(configuration);
    }
    return this.#catalogue;
  }

  /** One of the newest published versions. */
  findVersion(version: number): versions.ConfigurationVersion | undefined {
    return this.#parts.versions.get(version);
  }

  /** The versions kept for rollback, oldest first. */
  versions(): readonly versions.ConfigurationVersion[] {
    return this.#parts.versions.list();
  }

  key(digest: string): protocol.state.Key | undefined {
    return this.#parts.keys.get(digest);
  }

  withdrawnFailureDomains(): string[] {
    return this.#parts.failureDomains.list();
  }

  /** All replica decisions, oldest first. */
  replicas(): replicas.Replica[] {
    return this.#parts.replicas.list();
  }

  replica(index: number): replicas.Replica | undefined {
    return this.#parts.replicas.get(index);
  }

  /**
   * Pools of which shares may be granted; nothing if a leader of an early build
   * may have granted shares of any.
   */
  grantablePools(): grantablePools.GrantablePools | undefined {
    return this.#parts.grantable.pools;
  }

  claim(workspace: string, key: string): claims.Claim | undefined {
    return this.#parts.claims.get(workspace, key);
  }

  openClaimsOf(owner: types.Owner): claims.Claim[] {
    return this.#parts.claims.openClaimsOf(owner);
  }

  deferred(id: string): deferred.DeferredRequest | undefined {
    return this.#parts.deferred.get(id);
  }

  /** Deferred requests that wait for an assignment, oldest first. */
  waitingDeferred(): deferred.WaitingDeferredRequest[] {
    return this.#parts.deferred.waiting();
  }

  /** Deferred requests that are assigned, of all hosts or of one. */
  assignedDeferred(owner?: types.Owner): deferred.AssignedDeferredRequest[] {
    const assigned = this.#parts.deferred.assigned();
    if (owner === undefined) return assigned;
    return assigned.filter(({ phase }) =>
      results.sameOwner(phase.assignment, owner)
    );
  }

  /** Host processes that hold claims or deferred requests. */
  owners(): types.Owner[] {
    const owners = [
      ...this.#parts.claims.openOwners(),
      ...this.#parts.deferred.assigned().map(({ phase }) => phase.assignment),
    ];
    const byName = new Map(owners.map(({ host, hostIncarnation }) => [
      `${host}/${hostIncarnation}`,
      { host, hostIncarnation },
    ]));
    return [...byName.values()];
  }

  /** Whether `advance-time` at `timeMs` would end anything. */
  isExpiryDue(timeMs: number): boolean {
    const { claims, deferred, quarantines } = this.#parts;
    return claims.isDue(timeMs) || deferred.isDue(timeMs) ||
      quarantines.isDue(timeMs);
  }

  isHostLost(owner: types.Owner): boolean {
    return this.#parts.lostHosts.has(owner);
  }

  /** Up to `limit` audit entries with an index above `after`, oldest first. */
  auditEntries(after: number, limit: number): audit.AuditEntry[] {
    return this.#parts.audit.list(after, limit);
  }
}
