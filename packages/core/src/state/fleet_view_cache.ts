import * as protocol from "@ebonypath/protocol";
import * as catalogue from "./catalogue.ts";

type FleetView = protocol.state.FleetView;
type ViewChange = protocol.state.ViewChange;

/**
 * What an entry host knows of the replicated state; it never goes back.
 *
 * @example
 * ```ts
 * const view = new View();
 * view.reset(fleetView);
 * view.apply(12, changes);
 * const key = view.key(digest);
 * ```
 */
export class FleetViewCache {
  #index = 0;
  #version = 0;
  #catalogue = catalogue.EMPTY_CATALOGUE;
  readonly #keyById = new Map<string, protocol.state.Key>();
  readonly #keyByDigest = new Map<string, protocol.state.Key>();
  #withdrawn = new Set<string>();
  readonly #quarantines = new Map<string, protocol.state.Quarantine>();

  /** Index of the last entry that is included. */
  get index(): number {
    return this.#index;
  }

  /** Version of the configuration. */
  get version(): number {
    return this.#version;
  }

  /** Services, models, routes and workspaces of the version in force. */
  get catalogue(): catalogue.Catalogue {
    return this.#catalogue;
  }

  /** Replaces the view; false if the given one is older. */
  reset(view: FleetView): boolean {
    if (view.index < this.#index) return false;
    this.#index = view.index;
    this.#publish(view.version, view.configuration);
    this.#keyById.clear();
    this.#keyByDigest.clear();
    for (const key of view.keys) this.#grant(key);
    this.#withdrawn = new Set(view.withdrawnFailureDomains);
    this.#quarantines.clear();
    for (const item of view.quarantines) {
      this.#quarantines.set(item.fingerprint, item);
    }
    return true;
  }

  /** Applies the changes of one log entry; false if they are included. */
  apply(index: number, changes: readonly ViewChange[]): boolean {
    if (index <= this.#index) return false;
    for (const change of changes) this.#change(change);
    this.#index = index;
    return true;
  }

  /** Finds a key in force, whose workspace is in the configuration. */
  key(digest: string): protocol.state.Key | undefined {
    const key = this.#keyByDigest.get(digest);
    if (key === undefined) return undefined;
    const workspace = this.#catalogue.workspace(key.workspace);
    return workspace === undefined ? undefined : key;
  }

  isFailureDomainWithdrawn(failureDomain: string): boolean {
    return this.#withdrawn.has(failureDomain);
  }

  withdrawnFailureDomains(): string[] {
    return [...this.#withdrawn];
  }

  quarantine(fingerprint: string): protocol.state.Quarantine | undefined {
    return this.#quarantines.get(fingerprint);
  }

  /** Requests that are in quarantine. */
  get quarantineCount(): number {
    return this.#quarantines.size;
  }

  /** Renders the view, for comparison and for followers of this host. */
  toFleetView(): FleetView {
    return {
      index: this.#index,
      version: this.#version,
      configuration: this.#catalogue.configuration,
      keys: [...this.#keyById.values()],
      withdrawnFailureDomains: this.withdrawnFailureDomains(),
      quarantines: [...this.#quarantines.values()],
    };
  }

  #change(change: ViewChange): void {
    switch (change.kind) {
      case "configuration":
        return this.#publish(change.version, change.configuration);
      case "key-granted":
        return this.#grant(change.key);
      case "key-withdrawn":
        return this.#withdraw(change.keyId);
      case "failure-domains":
        this.#withdrawn = new Set(change.withdrawn);
        return;
      case "quarantined":
        this.#quarantines.set(change.quarantine.fingerprint, change.quarantine);
        return;
      case "quarantine-ended":
        this.#quarantines.delete(change.fingerprint);
        return;
      default:
        return protocol.errors.assertNever(change);
    }
  }

  #publish(
    version: number,
    configuration: protocol.configuration.Configuration,
  ): void {
    if (version === this.#version) return;
    this.#version = version;
    this.#catalogue = new catalogue.Catalogue(configuration);
  }

  #grant(key: protocol.state.Key): void {
    this.#keyById.set(key.id, key);
    this.#keyByDigest.set(key.digest, key);
  }

  #withdraw(keyId: string): void {
    const key = this.#keyById.get(keyId);
    if (key === undefined) return;
    this.#keyById.delete(keyId);
    this.#keyByDigest.delete(key.digest);
  }
}
