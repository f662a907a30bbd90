import { errors, type gateway } from "@ebonypath/protocol";

/** What a snapshot of the state holds. */
type Saved = {
  readonly configuration: gateway.Configuration | null;
  readonly source: string;
  readonly withdrawnDomains: readonly string[];
  /** Absent in snapshots of early builds. */
  readonly orderHolder?: string | null;
};

/**
 * The replicated state: the configuration with the highest version and the
 * failure domains that operators have taken out.
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
  readonly #withdrawn: Set<string>;

  constructor(withdrawn: readonly string[] = []) {
    this.#withdrawn = new Set(withdrawn);
  }

  /** The configuration in force; null before the first one. */
  get configuration(): gateway.Configuration | null {
    return this.#configuration;
  }

  /** The document of the configuration in force, as it was sent. */
  get source(): string {
    return this.#source;
  }

  /** Failure domains whose servers get no new requests. */
  get withdrawnDomains(): string[] {
    return [...this.#withdrawn].sort();
  }

  /** The host that may have given orders to servers; null if none has. */
  get orderHolder(): string | null {
    return this.#orderHolder;
  }

  /** Applies a committed command; returns whether it changed anything. */
  apply(command: gateway.Command): boolean {
    switch (command.kind) {
      case "configure":
        return this.#configure(command.configuration, command.source);
      case "withdraw-domain":
        return this.#withdraw(command.domain);
      case "restore-domain":
        return this.#withdrawn.delete(command.domain);
      case "hold-orders":
        return this.#holdOrders(command.host);
      case "barrier":
        return false;
      default:
        return errors.assertNever(command);
    }
  }

  toSnapshot(): string {
    const saved: Saved = {
      configuration: this.#configuration,
      source: this.#source,
      withdrawnDomains: this.withdrawnDomains,
      orderHolder: this.#orderHolder,
    };
    return JSON.stringify(saved);
  }

  static fromSnapshot(text: string): GatewayState {
    const saved = JSON.parse(text) as Saved;
    const state = new GatewayState(saved.withdrawnDomains);
    state.#configuration = saved.configuration;
    state.#source = saved.source;
    state.#orderHolder = saved.orderHolder ?? null;
    return state;
  }

  /** A version that is not higher changes nothing, so that resends are safe. */
  #configure(configuration: gateway.Configuration, source: string): boolean {
    const current = this.#configuration?.version ?? -1;
    if (configuration.version <= current) return false;
    this.#configuration = configuration;
    this.#source = source;
    return true;
  }

  #holdOrders(host: string): boolean {
    if (this.#orderHolder === host) return false;
    this.#orderHolder = host;
    return true;
  }

  #withdraw(domain: string): boolean {
    if (this.#withdrawn.has(domain)) return false;
    this.#withdrawn.add(domain);
    return true;
  }
}
