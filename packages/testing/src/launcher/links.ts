import * as faultProxy from "../fault_proxy/mod.ts";

/** A host as its links see it. */
export interface LinkedHost {
  readonly name: string;
  /** Where the host listens for other hosts. */
  readonly target: string;
  /** Port under which other hosts reach it. */
  readonly port: number;
  /** IP address that it opens links from; no other host has it. */
  readonly source: string;
}

/** A proxy in front of every host, with a link for each pair of hosts. */
export class Links {
  readonly #proxies = new Map<string, faultProxy.FaultProxy>();
  readonly #links = new Map<string, faultProxy.Link>();
  /** Names of the hosts by the address that they open links from. */
  readonly #names: ReadonlyMap<string, string>;

  private constructor(hosts: readonly LinkedHost[]) {
    this.#names = new Map(hosts.map(({ name, source }) => [source, name]));
  }

  /** Starts a proxy in front of each host. */
  static async start(hosts: readonly LinkedHost[]): Promise<Links> {
    const links = new Links(hosts);
    for (const { name, target, port } of hosts) {
      const proxy = await faultProxy.startFaultProxy({
        target,
        port,
        linkOf: (clientAddress) => links.#linkOf(clientAddress, name),
      });
      links.#proxies.set(name, proxy);
    }
    return links;
  }

  /** The link on which `from` connects to `to`. */
  link(from: string, to: string): faultProxy.Link {
    const key = `${from}>${to}`;
    const known = this.#links.get(key);
    if (known !== undefined) return known;
    const link = faultProxy.createLink();
    this.#links.set(key, link);
    return link;
  }

  /** The proxy in front of a host. */
  proxy(name: string): faultProxy.FaultProxy {
    const proxy = this.#proxies.get(name);
    if (proxy === undefined) throw new Error(`no proxy for ${name}`);
    return proxy;
  }

  /** Silences every link from and to a host, both ways. */
  isolate(name: string): void {
    for (const link of this.#linksOf(name)) {
      link.toTarget.hold();
      link.toClient.hold();
    }
  }

  /** Delivers what was held back and heals the links of a host. */
  heal(name: string): void {
    for (const link of this.#linksOf(name)) {
      link.toTarget.heal();
      link.toClient.heal();
    }
  }

  /**
   * Heals the links that a host opens; those to it stay as they are. So it
   * speaks and is answered, and nobody else begins to speak to it.
   */
  healFrom(name: string): void {
    for (const other of this.#others(name)) {
      const link = this.link(name, other);
      link.toTarget.heal();
      link.toClient.heal();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const proxy of this.#proxies.values()) {
      await proxy[Symbol.asyncDispose]();
    }
  }

  #linksOf(name: string): faultProxy.Link[] {
    return this.#others(name).flatMap((other) => [
      this.link(name, other),
      this.link(other, name),
    ]);
  }

  #others(name: string): string[] {
    return [...this.#proxies.keys()].filter((other) => other !== name);
  }

  #linkOf(clientAddress: string, to: string): faultProxy.Link | undefined {
    const from = this.#names.get(clientAddress);
    return from === undefined ? undefined : this.link(from, to);
  }
}
