import * as protocol from "@ebonypath/protocol";
import * as catalogue from "./catalogue.ts";

type FleetView = protocol.state.FleetView;
type ViewChange = protocol.state.ViewChange;

/**
 * An entry host's copy of the fleet view. It never goes back to an older log
 * index.
 *
 * @example
 * ```ts
 * const view = new FleetViewCache();
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

  /** Log index of the last entry that the copy includes. */
  get index(): number {
    return this.#index;
  }

  /** Current version of the configuration. */
  get version(): number {
    return this.#version;
  }

  /** Services, models, routes and workspaces of the current version. */
  get catalogue(): catalogue.Catalogue {
    return this.#catalogue;
  }

  /** Replaces the copy; returns false if the given view is older. */
  reset(view: FleetView): boolean {
    if (view.index < this.#index) return false;
    this.#index = view.index;
    this.#setConfiguration(view.version, view.configuration);
    this.#keyById.clear();
    this.#keyByDigest.clear();
    for (const key of view.keys) this.#putKey(key);
    this.#withdrawn = new Set(view.withdrawnFailureDomains);
    this.#quarantines.clear();
    for (const item of view.quarantines) {
      this.#quarantines.set(item.fingerprint, item);
    }
    return true;
  }

  /** Applies the changes of a log entry; returns false if already included. */
  apply(index: number, changes: readonly ViewChange[]): boolean {
    if (index <= this.#index) return false;
    for (const change of changes) this.#applyChange(change);
    this.#index = index;
    return true;
  }

  /** Finds a granted API key whose workspace is in the configuration. */
  key(digest: string): protocol.state.Key | undefined {
    const key = this.#keyByDigest.get(digest);
    if (key === undefined) return undefined;
    const workspace = this.#catalogue.workspace(key.workspace);
    return workspace === undefined ? undefined : key;
  }

  /** Finds a granted API key by its id. */
  keyById(id: string): protocol.state.Key | undefined {
    return this.#keyById.get(id);
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

  /** Number of quarantined request fingerprints. */
  get quarantineCount(): number {
    return this.#quarantines.size;
  }

  /** Returns the whole view as a plain object. */
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

  #applyChange(change: ViewChange): void {
    switch (change.kind) {
      case "configuration":
        return this.#setConfiguration(change.version, change.configuration);
      case "key-granted":
        return this.#putKey(change.key);
      case "key-withdrawn":
        return this.#removeKey(change.keyId);
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

  #setConfiguration(
    version: number,
    configuration: protocol.configuration.Configuration,
  ): void {
    if (version === this.#version) return;
    this.#version = version;
    this.#catalogue = new catalogue.Catalogue(configuration);
  }

  #putKey(key: protocol.state.Key): void {
    this.#keyById.set(key.id, key);
    this.#keyByDigest.set(key.digest, key);
  }

  #removeKey(keyId: string): void {
    const key = this.#keyById.get(keyId);
    if (key === undefined) return;
    this.#keyById.delete(keyId);
    this.#keyByDigest.delete(key.digest);
  }
}
