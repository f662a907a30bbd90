/**
 * A fleet of real daemons on loopback.
 *
 * @module
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as freePort from "../free_port.ts";
import * as fleetHost from "./fleet_host.ts";
import * as links from "./links.ts";
import * as settingsFile from "./settings_file.ts";

/** How a fleet is laid out. */
export interface FleetOptions {
  /** Script of the daemon. */
  readonly daemonPath: string;
  readonly hosts: number;
  /** Hosts that also vote; the first ones. All but at most 3 by default. */
  readonly voters?: number;
  /** Failure domains over which the hosts are spread in turn. */
  readonly failureDomains?: readonly string[];
  /** Values of the table `limits` of every host. */
  readonly limits?: Readonly<Record<string, number>>;
  /** Puts a proxy on every link between hosts. */
  readonly withLinks?: boolean;
  readonly env?: Readonly<Record<string, string>>;
}

const MAX_DEFAULT_VOTERS = 3;
/** Ports of a host: four listeners, and a proxy before the last one. */
const LISTENERS = 5;
const FAILURE_DOMAINS = ["fd-1", "fd-2", "fd-3", "fd-4"];
/** Limits that keep tests short, in milliseconds. */
const LIMITS = { "drain_delay_ms": 100, "drain_timeout_ms": 10_000 };

/** Running daemons with their settings in a temporary folder. */
export class Fleet {
  readonly hosts: readonly fleetHost.FleetHost[];
  readonly folder: string;
  readonly secrets: settingsFile.FleetSecrets;
  readonly #links: links.Links | undefined;

  constructor(
    folder: string,
    secrets: settingsFile.FleetSecrets,
    hosts: readonly fleetHost.FleetHost[],
    hostLinks: links.Links | undefined,
  ) {
    this.folder = folder;
    this.secrets = secrets;
    this.hosts = hosts;
    this.#links = hostLinks;
  }

  /** Links between the hosts; only with `withLinks`. */
  get links(): links.Links {
    if (this.#links === undefined) throw new Error("the fleet has no links");
    return this.#links;
  }

  /** Origins to which backend servers announce themselves. */
  get backends(): string[] {
    return this.#running.map((host) => host.backends);
  }

  /** Origins for callers. */
  get callers(): string[] {
    return this.#running.map((host) => host.callers);
  }

  /** Returns a host by its number, counted from 0. */
  host(index: number): fleetHost.FleetHost {
    const host = this.hosts[index];
    if (host === undefined) throw new RangeError(`no host ${index}`);
    return host;
  }

  /** Returns the host that leads as a running host sees it, if any. */
  async leader(): Promise<fleetHost.FleetHost | undefined> {
    for (const host of this.#running) {
      const { leader } = await host.operator.status();
      const found = this.#running.find((one) =>
        one.options.fleetAddress === leader
      );
      if (found !== undefined) return found;
    }
    return undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.hosts.map((host) => host[Symbol.asyncDispose]()));
    await this.#links?.[Symbol.asyncDispose]();
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  get #running(): fleetHost.FleetHost[] {
    return this.hosts.filter((host) => host.isRunning);
  }
}

/**
 * Starts a fleet and waits until every host is ready.
 *
 * @example
 * ```ts
 * await using fleet = await startFleet({ daemonPath, hosts: 3 });
 * const { key } = await fleet.host(0).operator.grantKey("web-shop");
 * ```
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const fleet = await createFleet(options);
  try {
    for (const host of fleet.hosts) host.launch();
    await Promise.all(fleet.hosts.map((host) => host.waitUntilReady()));
    return fleet;
  } catch (error) {
    await fleet[Symbol.asyncDispose]();
    throw error;
  }
}

async function createFleet(options: FleetOptions): Promise<Fleet> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
  const secrets = await settingsFile.writeSecrets(folder);
  const count = options.hosts;
  const voterCount = options.voters ?? Math.min(count, MAX_DEFAULT_VOTERS);
  const ports = await freePort.freePorts(LISTENERS * count);
  const column = (number: number) =>
    addresses(ports.slice(number * count, (number + 1) * count));
  const [callers, backends, operators] = [column(0), column(1), column(2)];
  const listens = column(3);
  const advertised = options.withLinks ? column(4) : listens;
  const voters = advertised.slice(0, voterCount);
  const domains = options.failureDomains ?? FAILURE_DOMAINS;
  const hosts: fleetHost.FleetHost[] = [];
  for (const [index, fleet] of listens.entries()) {
    const settings: settingsFile.HostSettings = {
      name: `host-${index + 1}`,
      failureDomain: domains[index % domains.length] as string,
      isControl: index < voterCount,
      callers: callers[index] as string,
      backends: backends[index] as string,
      operators: operators[index] as string,
      fleet,
      fleetAdvertised: advertised[index] as string,
      ...(options.withLinks ? { fleetSource: sourceOf(index) } : {}),
      controlHosts: voters,
      initialVoters: voters,
      limits: { ...LIMITS, ...options.limits },
    };
    hosts.push(
      new fleetHost.FleetHost({
        name: settings.name,
        failureDomain: settings.failureDomain,
        isControl: settings.isControl,
        daemonPath: options.daemonPath,
        settingsFile: await settingsFile.writeSettings(folder, settings),
        fleetAddress: settings.fleetAdvertised,
        operatorToken: secrets.operatorToken,
        env: options.env ?? {},
      }),
    );
  }
  const hostLinks = options.withLinks
    ? await startLinks(hosts, listens)
    : undefined;
  return new Fleet(folder, secrets, hosts, hostLinks);
}

async function startLinks(
  hosts: readonly fleetHost.FleetHost[],
  listens: readonly string[],
): Promise<links.Links> {
  const linked = hosts.map((host, index) => ({
    name: host.name,
    target: listens[index] as string,
    port: Number(host.options.fleetAddress.split(":")[1]),
    source: sourceOf(index),
  }));
  return await links.Links.start(linked);
}

/** A loopback address that only one host of a fleet opens links from. */
function sourceOf(index: number): string {
  return `127.0.1.${index + 1}`;
}

function addresses(ports: readonly number[]): string[] {
  return ports.map((port) => `127.0.0.1:${port}`);
}
