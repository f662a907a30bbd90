/**
 * What an entry host knows of the fleet.
 *
 * @module
 */
import * as events from "node:events";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

interface ViewEvents {
  /** Servers, domains or the configuration have changed. */
  change: [];
  /** Another configuration is in force. */
  configuration: [configuration: gateway.Configuration];
}

/** A server with the monotonic time of its last heartbeat. */
export interface KnownServer {
  readonly record: gateway.ServerRecord;
  readonly lastHeartbeatAt: number;
}

/**
 * The configuration in force and the servers, as the leader told them last.
 * Versions, terms and revisions only grow, so that a late answer takes nothing
 * back.
 */
export class FleetView extends events.EventEmitter<ViewEvents> {
  #configuration: gateway.Configuration | null = null;
  #routes = new core.gateway.RouteTable([]);
  #services = new Map<string, gateway.Service>();
  /** Workspaces by key. */
  #keys = new Map<string, gateway.Workspace>();
  #withdrawn: ReadonlySet<string> = new Set();
  #servers = new Map<string, KnownServer>();
  #byService = new Map<string, KnownServer[]>();
  #term = 0;
  #revision = 0;
  #answeredAt = -Infinity;
  /** Resolves with the first configuration. */
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

  /** Monotonic time of the last answer of a leader, in milliseconds. */
  get lastResponseAt(): number {
    return this.#answeredAt;
  }

  service(name: string): gateway.Service | undefined {
    return this.#services.get(name);
  }

  /** The workspace that a key acts for. */
  workspaceForKey(key: string): gateway.Workspace | undefined {
    return this.#keys.get(key);
  }

  isDomainWithdrawn(failureDomain: string): boolean {
    return this.#withdrawn.has(failureDomain);
  }

  /** Servers of a service that take new requests. */
  readyServers(service: string): KnownServer[] {
    return (this.#byService.get(service) ?? []).filter(({ record }) =>
      record.state === "ready" && !this.isDomainWithdrawn(record.failureDomain)
    );
  }

  server(id: string): KnownServer | undefined {
    return this.#servers.get(id);
  }

  /** All servers, for a new leader that has not heard them yet. */
  serverRecords(now: number): gateway.ServerRecord[] {
    return [...this.#servers.values()].map((
      { lastHeartbeatAt: heardAt, record },
    ) => ({
      ...record,
      silentMs: Math.max(0, now - heardAt),
    }));
  }

  /** Takes an answer of the leader. */
  apply(answer: gateway.WatchResponse, now: number): void {
    if (answer.term < this.#term) return;
    const isLate = answer.term === this.#term &&
      answer.revision < this.#revision;
    if (isLate) return;
    this.#term = answer.term;
    this.#revision = answer.revision;
    this.#answeredAt = now;
    this.#withdrawn = new Set(answer.withdrawnDomains);
    this.#applyServers(answer, now);
    if (answer.configuration !== undefined) {
      this.#applyConfiguration(answer.configuration);
    }
    this.emit("change");
  }

  #applyServers(
    { isSettled, isWhole, servers }: gateway.WatchResponse,
    now: number,
  ): void {
    // A leader that has not heard all servers yet knows fewer than this host.
    if (isWhole && isSettled) this.#servers = new Map();
    for (const record of servers) {
      const known = this.#servers.get(record.id)?.record;
      if (known !== undefined && known.born > record.born) continue;
      const heardAt = now - record.silentMs;
      this.#servers.set(record.id, { record, lastHeartbeatAt: heardAt });
    }
    this.#byService = new Map();
    for (const server of this.#servers.values()) {
      const { service } = server.record;
      const known = this.#byService.get(service) ?? [];
      known.push(server);
      this.#byService.set(service, known);
    }
  }

  #applyConfiguration(configuration: gateway.Configuration): void {
    const current = this.#configuration?.version ?? -1;
    if (configuration.version <= current) return;
    this.#configuration = configuration;
    this.#routes = new core.gateway.RouteTable(configuration.routes);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    this.#keys = new Map(
      (configuration.workspaces ?? []).flatMap((workspace) =>
        workspace.keys.map((key) => [key, workspace] as const)
      ),
    );
    this.emit("configuration", configuration);
  }
}
