/**
 * An entry host's view of the fleet.
 *
 * @module
 */
import * as events from "node:events";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

interface ViewEvents {
  /** Servers, failure domains or the configuration may have changed. */
  change: [];
  /**
   * A newer configuration is in force.
   *
   * @param ageMs time for which the leader has had it, in milliseconds
   */
  configuration: [configuration: gateway.Configuration, ageMs?: number];
}

/**
 * Time after which a server that has ended or is lost is left out of copies, in
 * milliseconds. Leaders drop it after this time, too.
 */
const FORGET_MS = 60_000;

/** A server and the monotonic time of its last heartbeat, in milliseconds. */
export interface KnownServer {
  readonly record: gateway.ServerRecord;
  readonly lastHeartbeatAt: number;
}

/**
 * The configuration in force and the servers, from the leader's responses.
 * Versions, terms and revisions never decrease, so a response that arrives late
 * cannot undo a newer one.
 */
export class FleetView extends events.EventEmitter<ViewEvents> {
  #configuration: gateway.Configuration | null = null;
  #routes = new core.gateway.RouteTable([]);
  #services = new Map<string, gateway.Service>();
  #workspacesByKey = new Map<string, gateway.Workspace>();
  #withdrawnDomains: ReadonlySet<string> = new Set();
  #limitedWorkspaces: ReadonlySet<string> = new Set();
  #servers = new Map<string, KnownServer>();
  /** When servers will be gone that are removed at short notice. */
  readonly removals = new core.gateway.RemovalNotices();
  #serversByService = new Map<string, KnownServer[]>();
  #term = 0;
  #revision = 0;
  #stateIndex = 0;
  #lastResponseAt = -Infinity;
  readonly #freshness = new core.gateway.Freshness();
  #mixedServices: ReadonlySet<string> = new Set();
  #quarantineRevision = 0;
  /** Monotonic times of their ends, in milliseconds, by fingerprint. */
  #quarantines: ReadonlyMap<string, number> = new Map();
  #suspectRevision = 0;
  /** Revisions at which the leader has sent the servers. */
  readonly #sentRevisions = new Map<string, number>();
  /** Servers that this host may know better than the leader. */
  readonly #unreported = new Set<string>();
  /** Resolves when the first configuration arrives. */
  readonly firstConfiguration = new Promise<void>((resolve) =>
    this.once("configuration", () => resolve())
  );

  get configuration(): gateway.Configuration | null {
    return this.#configuration;
  }

  get routes(): core.gateway.RouteTable {
    return this.#routes;
  }

  get term(): number {
    return this.#term;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Log index of the last change in the replicated state; 0 before the first. */
  get stateIndex(): number {
    return this.#stateIndex;
  }

  /** Monotonic time of a leader's last response, in milliseconds. */
  get lastResponseAt(): number {
    return this.#lastResponseAt;
  }

  /**
   * Time since the configuration was known to be in force, in milliseconds;
   * `Infinity` before the first one.
   */
  configurationAgeMs(now: core.gateway.ClockReading): number {
    return this.#freshness.ageMs(now);
  }

  service(name: string): gateway.Service | undefined {
    return this.#services.get(name);
  }

  /** The workspace that an API key belongs to. */
  workspaceForKey(key: string): gateway.Workspace | undefined {
    return this.#workspacesByKey.get(key);
  }

  isDomainWithdrawn(failureDomain: string): boolean {
    return this.#withdrawnDomains.has(failureDomain);
  }

  /** Whether the usage of a workspace over all hosts is near its rate. */
  isWorkspaceLimited(workspace: string): boolean {
    return this.#limitedWorkspaces.has(workspace);
  }

  /** Servers of a service that accept new requests. */
  readyServers(service: string): KnownServer[] {
    return (this.#serversByService.get(service) ?? []).filter(({ record }) =>
      record.state === "ready" && !this.isDomainWithdrawn(record.failureDomain)
    );
  }

  server(id: string): KnownServer | undefined {
    return this.#servers.get(id);
  }

  /** Whether servers of a service have run several software versions lately. */
  isMixed(service: string): boolean {
    return this.#mixedServices.has(service);
  }

  /** Revision of the quarantines that this host knows. */
  get quarantineRevision(): number {
    return this.#quarantineRevision;
  }

  /** Revision of the leader's suspects of crashing servers. */
  get suspectRevision(): number {
    return this.#suspectRevision;
  }

  get quarantineCount(): number {
    return this.#quarantines.size;
  }

  /** Time for which a request is in quarantine, in milliseconds; 0 if it isn't. */
  quarantineMs(fingerprint: string, now: number): number {
    return Math.max(0, (this.#quarantines.get(fingerprint) ?? 0) - now);
  }

  /** All servers, for a new leader that has not heard from them yet. */
  serverRecords(now: number): gateway.ServerRecord[] {
    return [...this.#servers.values()].map(({ lastHeartbeatAt, record }) => ({
      ...record,
      silentMs: Math.max(0, now - lastHeartbeatAt),
    }));
  }

  /** The list of servers, for a host that may lead next. */
  copyServers(now: number): core.gateway.ServerListCopy {
    const revision = this.#revision;
    const servers = this.serverRecords(now)
      .filter(({ silentMs, state }) =>
        silentMs < FORGET_MS || state === "ready" || state === "draining"
      )
      .map((record) => ({
        record,
        revision: this.#unreported.has(record.id)
          ? revision + 1
          : this.#sentRevisions.get(record.id) ?? revision + 1,
      }));
    return { term: this.#term, revision, servers };
  }

  /** Number of servers that this host may know better than the leader. */
  get unreported(): number {
    return this.#unreported.size;
  }

  /** Servers that the leader lacks or knows by an older heartbeat. */
  unreportedRecords(now: number): gateway.ServerRecord[] {
    return this.serverRecords(now).filter(({ id }) => this.#unreported.has(id));
  }

  /** Records that the leader of a term has received these servers. */
  acknowledgeReport(servers: readonly { id: string }[], term: number): void {
    if (term !== this.#term) return;
    for (const { id } of servers) this.#unreported.delete(id);
  }

  /**
   * Applies a leader's response unless it is older than the current state.
   *
   * @param requestedAt when the request that it answers was sent
   * @returns whether it was applied
   */
  apply(
    response: gateway.WatchResponse,
    now: number,
    requestedAt?: core.gateway.ClockReading,
  ): boolean {
    if (response.term < this.#term) return false;
    const isStale = response.term === this.#term &&
      response.revision < this.#revision;
    if (isStale) return false;
    const previousTerm = this.#term;
    this.#term = response.term;
    this.#revision = response.revision;
    this.#lastResponseAt = now;
    this.#limitedWorkspaces = new Set(response.limitedWorkspaces);
    this.#applyReplicated(response);
    this.#suspectRevision = response.suspectRevision ?? 0;
    if (response.term !== previousTerm) {
      this.#beginTerm(response, previousTerm);
    }
    this.#applyServers(response, now);
    if (response.quarantines !== undefined) {
      this.#applyQuarantines(response.quarantines, now);
    }
    if (response.configuration !== undefined) {
      this.#applyConfiguration(
        response.configuration,
        response.configurationAgeMs,
      );
    }
    if (requestedAt !== undefined && response.heldMs !== undefined) {
      this.#freshness.confirm(requestedAt, response.heldMs);
    }
    this.emit("change");
    return true;
  }

  /**
   * Applies the replicated state of any control host unless this host has a
   * later one; returns whether it did.
   */
  applyState(
    { configuration, index, quarantines, ...state }: gateway.HostState,
    now: number,
  ): boolean {
    if (index <= this.#stateIndex) return false;
    this.#applyReplicated({ ...state, stateIndex: index });
    this.#applyQuarantines(quarantines, now);
    if (configuration !== null) {
      this.#applyConfiguration(configuration, undefined);
    }
    this.emit("change");
    return true;
  }

  /** Records that the replicated state was in force at a time. */
  confirm(at: core.gateway.ClockReading): void {
    this.#freshness.confirm(at);
  }

  #applyReplicated(
    { mixedServices, stateIndex, withdrawnDomains }: Pick<
      gateway.WatchResponse,
      "mixedServices" | "stateIndex" | "withdrawnDomains"
    >,
  ): void {
    // A leader that has restored an early snapshot does not know the index.
    if (stateIndex !== undefined) {
      if (stateIndex < this.#stateIndex) return;
      this.#stateIndex = stateIndex;
    }
    this.#withdrawnDomains = new Set(withdrawnDomains);
    this.#mixedServices = new Set(mixedServices);
  }

  /** Until it has heard from all servers, a leader knows fewer than this host. */
  #beginTerm(
    { base, isSettled, isWhole }: gateway.WatchResponse,
    previousTerm: number,
  ): void {
    if (isWhole && isSettled) {
      this.#servers = new Map();
      this.#sentRevisions.clear();
      this.#unreported.clear();
    }
    const knownRevision = base?.term === previousTerm ? base.revision : -1;
    for (const id of this.#servers.keys()) {
      const sentRevision = this.#sentRevisions.get(id) ?? Infinity;
      if (sentRevision > knownRevision) this.#unreported.add(id);
    }
  }

  #applyServers(
    { revision, servers }: gateway.WatchResponse,
    now: number,
  ): void {
    for (const record of servers) {
      const { id } = record;
      const current = this.#servers.get(id)?.record;
      if (current !== undefined && current.born > record.born) continue;
      const isBetterKnown = current !== undefined &&
        this.#unreported.has(id) && isAhead(current, record);
      if (isBetterKnown) continue;
      this.#unreported.delete(id);
      this.#sentRevisions.set(id, revision);
      const lastHeartbeatAt = now - record.silentMs;
      this.#servers.set(id, { record, lastHeartbeatAt });
      if (record.remainingMs !== undefined) {
        this.removals.record(record, record.remainingMs, lastHeartbeatAt);
      }
    }
    this.#serversByService = new Map();
    for (const server of this.#servers.values()) {
      const { service } = server.record;
      const group = this.#serversByService.get(service) ?? [];
      group.push(server);
      this.#serversByService.set(service, group);
    }
  }

  #applyQuarantines(
    { requests, revision }: gateway.Quarantines,
    now: number,
  ): void {
    this.#quarantineRevision = revision;
    this.#quarantines = new Map(
      requests.map(({ fingerprint, remainingMs }) => [
        fingerprint,
        now + remainingMs,
      ]),
    );
  }

  #applyConfiguration(
    configuration: gateway.Configuration,
    ageMs: number | undefined,
  ): void {
    const currentVersion = this.#configuration?.version ?? -1;
    if (configuration.version <= currentVersion) return;
    this.#configuration = configuration;
    this.#routes = new core.gateway.RouteTable(configuration.routes);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    this.#workspacesByKey = new Map(
      (configuration.workspaces ?? []).flatMap((workspace) =>
        workspace.keys.map((key) => [key, workspace] as const)
      ),
    );
    this.emit("configuration", configuration, ageMs);
  }
}

/** Whether one record of a start of a server is newer than another one. */
function isAhead(
  one: gateway.ServerRecord,
  other: gateway.ServerRecord,
): boolean {
  if (one.born !== other.born) return false;
  if (one.sequence !== other.sequence) return one.sequence > other.sequence;
  const isOver = one.state === "draining" || one.state === "ended";
  return isOver && other.state === "ready";
}
