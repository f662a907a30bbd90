import { errors, type gateway, type state } from "@ebonypath/protocol";
import * as duties from "../duties/mod.ts";
import * as suspicion from "../suspicion/mod.ts";

/**
 * Servers whose ends are kept; the earliest are dropped first. A leader needs
 * those of the last minute, and an hour of the largest fleet has some 1,400.
 */
const MAX_ENDED_SERVERS = 4_096;
/** Most requests in quarantine; the one that ends first is dropped. */
const MAX_QUARANTINES = 1_000;

/** Content of a snapshot. */
type Snapshot = {
  readonly configuration: gateway.Configuration | null;
  readonly source: string;
  readonly withdrawnDomains: readonly string[];
  /** Missing in snapshots that early builds wrote. */
  readonly orderHolder?: string | null;
  /** By service; missing in snapshots that early builds wrote. */
  readonly softwareVersions?: readonly (readonly [string, readonly string[]])[];
  /** Missing in snapshots that early builds wrote. */
  readonly quarantines?: readonly state.Quarantine[];
  readonly quarantineRevision?: number;
  /** Missing in snapshots that early builds wrote. */
  readonly hostStateIndex?: number | null;
  /** Missing in snapshots that early builds wrote. */
  readonly domainRevision?: number;
  /** By id; missing in snapshots that early builds wrote. */
  readonly endedServers?: readonly (readonly [string, number])[];
  /** Missing in snapshots that early builds wrote. */
  readonly duties?: duties.DutySnapshot;
};

/**
 * The replicated state of a gateway fleet: the configuration with the highest
 * version, the failure domains that operators have withdrawn, the host that may
 * give orders to servers, the software versions of the servers, and the requests
 * that are not run because they crashed servers.
 *
 * @example
 * ```ts
 * const state = new GatewayState();
 * state.apply({ kind: "withdraw-domain", domain: "a" });
 * ```
 */
export class GatewayState {
  #configuration: gateway.Configuration | null = null;
  #source = "";
  #orderHolder: string | null = null;
  readonly #withdrawnDomains: Set<string>;
  readonly #softwareVersions = new Map<string, readonly string[]>();
  #quarantines = new suspicion.QuarantineList(MAX_QUARANTINES);
  #quarantineRevision = 0;
  #hostStateIndex: number | null = 0;
  #domainRevision = 0;
  /** Births of the last starts that have ended, by the id of the server. */
  readonly #endedServers = new Map<string, number>();
  #duties = new duties.DutyState();

  constructor(withdrawnDomains: readonly string[] = []) {
    this.#withdrawnDomains = new Set(withdrawnDomains);
  }

  /** The current configuration; null before the first one. */
  get configuration(): gateway.Configuration | null {
    return this.#configuration;
  }

  /** The document of the current configuration, as the operator sent it. */
  get source(): string {
    return this.#source;
  }

  /** Names of the failure domains whose servers get no new requests. */
  get withdrawnDomains(): string[] {
    return [...this.#withdrawnDomains].sort();
  }

  /** The only host that may give orders to servers; null until one is set. */
  get orderHolder(): string | null {
    return this.#orderHolder;
  }

  /** Versions that the servers of a service have run lately. */
  softwareVersions(service: string): readonly string[] {
    return this.#softwareVersions.get(service) ?? [];
  }

  /** Services whose servers have run several versions lately. */
  get mixedServices(): string[] {
    return [...this.#softwareVersions]
      .filter(([, versions]) => versions.length > 1)
      .map(([service]) => service);
  }

  /** All services with the versions that their servers have run lately. */
  get versionsByService(): ReadonlyMap<string, readonly string[]> {
    return this.#softwareVersions;
  }

  /** The last starts of servers that have ended. */
  get endedServers(): gateway.ServerStart[] {
    return [...this.#endedServers].map(([id, born]) => ({ id, born }));
  }

  /** Whether a start of a server is known to have ended. */
  hasEnded({ born, id }: gateway.ServerStart): boolean {
    return born <= (this.#endedServers.get(id) ?? -1);
  }

  /** Who performs which duty, and what is reported for it. */
  get duties(): duties.DutyState {
    return this.#duties;
  }

  /** Requests that are not run for a time. */
  get quarantines(): state.Quarantine[] {
    return this.#quarantines.list();
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#quarantines.get(fingerprint) !== undefined;
  }

  /** Number of changes of the quarantines. */
  get quarantineRevision(): number {
    return this.#quarantineRevision;
  }

  /**
   * Log index of the last command that may have changed what entry hosts act on;
   * 0 before the first one, null if a snapshot did not tell.
   */
  get hostStateIndex(): number | null {
    return this.#hostStateIndex;
  }

  /**
   * Revision of the part of the state that a change concerns. While it is the
   * same, no other change has been made to that part.
   */
  revisionFor({ kind }: gateway.ReversibleChange): number {
    switch (kind) {
      case "withdraw-domain":
      case "restore-domain":
        return this.#domainRevision;
      case "release-quarantine":
        return this.#quarantineRevision;
      default:
        return errors.assertNever(kind);
    }
  }

  /**
   * Applies a committed command; returns whether it changed anything that the
   * leader or entry hosts have to be told.
   *
   * @param index log index of the command; the next one if absent
   */
  apply(
    command: gateway.Command,
    index: number = (this.#hostStateIndex ?? 0) + 1,
  ): boolean {
    if (concernsEntryHosts(command)) this.#hostStateIndex = index;
    switch (command.kind) {
      case "configure":
        return this.#configure(command.configuration, command.source);
      case "withdraw-domain":
        return this.#withdrawDomain(command.domain, index);
      case "restore-domain":
        return this.#restoreDomain(command.domain, index);
      case "hold-orders":
        return this.#setOrderHolder(command.host);
      case "add-software-version":
        return this.#addSoftwareVersion(
          command.service,
          command.softwareVersion,
        );
      case "remove-software-version":
        return this.#removeSoftwareVersion(
          command.service,
          command.softwareVersion,
        );
      case "quarantine":
        return this.#quarantine(command);
      case "release-quarantine":
        return this.#releaseQuarantine(command.fingerprint);
      case "end-server":
        // The leader has told hosts by its list of servers.
        this.#endServer(command);
        return false;
      case "hold-duty":
        this.#duties.hold(command.duty, command.host);
        return false;
      case "close-window":
        this.#duties.closeWindow(command);
        return false;
      case "window-delivered":
        this.#duties.recordDelivery(command.window);
        return false;
      case "order-servers":
        this.#duties.orderServers(command);
        return false;
      case "barrier":
        return false;
      default:
        return errors.assertNever(command);
    }
  }

  toSnapshot(): string {
    const snapshot: Snapshot = {
      configuration: this.#configuration,
      source: this.#source,
      withdrawnDomains: this.withdrawnDomains,
      orderHolder: this.#orderHolder,
      softwareVersions: [...this.#softwareVersions],
      quarantines: this.quarantines,
      quarantineRevision: this.#quarantineRevision,
      hostStateIndex: this.#hostStateIndex,
      domainRevision: this.#domainRevision,
      endedServers: [...this.#endedServers],
      duties: this.#duties.toSnapshot(),
    };
    return JSON.stringify(snapshot);
  }

  static fromSnapshot(text: string): GatewayState {
    const snapshot = JSON.parse(text) as Snapshot;
    const state = new GatewayState(snapshot.withdrawnDomains);
    state.#configuration = snapshot.configuration;
    state.#source = snapshot.source;
    state.#orderHolder = snapshot.orderHolder ?? null;
    for (const [service, versions] of snapshot.softwareVersions ?? []) {
      state.#softwareVersions.set(service, versions);
    }
    state.#quarantines = new suspicion.QuarantineList(
      MAX_QUARANTINES,
      snapshot.quarantines ?? [],
    );
    state.#quarantineRevision = snapshot.quarantineRevision ?? 0;
    state.#hostStateIndex = snapshot.hostStateIndex ?? null;
    state.#domainRevision = snapshot.domainRevision ?? 0;
    for (const [id, born] of snapshot.endedServers ?? []) {
      state.#endedServers.set(id, born);
    }
    state.#duties = new duties.DutyState(snapshot.duties);
    return state;
  }

  /** Ignores versions that are not higher, so a resend has no effect. */
  #configure(configuration: gateway.Configuration, source: string): boolean {
    const currentVersion = this.#configuration?.version ?? -1;
    if (configuration.version <= currentVersion) return false;
    this.#configuration = configuration;
    this.#source = source;
    return true;
  }

  #setOrderHolder(host: string): boolean {
    if (this.#orderHolder === host) return false;
    this.#orderHolder = host;
    return true;
  }

  #addSoftwareVersion(service: string, softwareVersion: string): boolean {
    const versions = this.softwareVersions(service);
    if (versions.includes(softwareVersion)) return false;
    this.#softwareVersions.set(service, [...versions, softwareVersion]);
    return true;
  }

  #removeSoftwareVersion(service: string, softwareVersion: string): boolean {
    const versions = this.softwareVersions(service);
    const rest = versions.filter((version) => version !== softwareVersion);
    if (rest.length === 0) this.#softwareVersions.delete(service);
    else this.#softwareVersions.set(service, rest);
    return rest.length < versions.length;
  }

  #endServer(server: gateway.ServerStart): void {
    if (this.hasEnded(server)) return;
    const { born, id } = server;
    suspicion.setNewest(this.#endedServers, id, born, MAX_ENDED_SERVERS);
  }

  #quarantine(
    { attribute, fingerprint, model, untilMs, workspace }: state.Quarantine,
  ): boolean {
    this.#quarantines.add({
      fingerprint,
      workspace,
      model,
      untilMs,
      ...(attribute === undefined ? {} : { attribute }),
    });
    this.#quarantineRevision += 1;
    return true;
  }

  #releaseQuarantine(fingerprint: string): boolean {
    if (!this.#quarantines.remove(fingerprint)) return false;
    this.#quarantineRevision += 1;
    return true;
  }

  #withdrawDomain(domain: string, index: number): boolean {
    if (this.#withdrawnDomains.has(domain)) return false;
    this.#withdrawnDomains.add(domain);
    this.#domainRevision = index;
    return true;
  }

  #restoreDomain(domain: string, index: number): boolean {
    if (!this.#withdrawnDomains.delete(domain)) return false;
    this.#domainRevision = index;
    return true;
  }
}

/** Whether a command may change what entry hosts act on. */
export function concernsEntryHosts({ kind }: gateway.Command): boolean {
  switch (kind) {
    case "barrier":
    case "end-server":
    case "hold-orders":
    case "hold-duty":
    case "close-window":
    case "window-delivered":
    case "order-servers":
      return false;
    case "configure":
    case "withdraw-domain":
    case "restore-domain":
    case "add-software-version":
    case "remove-software-version":
    case "quarantine":
    case "release-quarantine":
      return true;
    default:
      return errors.assertNever(kind);
  }
}
