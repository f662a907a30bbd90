import * as faultProxy from "../fault_proxy/mod.ts";
import * as socketOwner from "./socket_owner.ts";

/** A host as its links see it. */
export interface LinkedHost {
  readonly name: string;
  /** Where the host listens for other hosts. */
  readonly target: string;
  /** Port under which other hosts reach it. */
  readonly port: number;
}

/** A proxy in front of every host, with a link for each pair of hosts. */
export class Links {
  readonly #proxies = new Map<string, faultProxy.FaultProxy>();
  readonly #links = new Map<string, faultProxy.Link>();
  readonly #pids: () => ReadonlyMap<number, string>;

  private constructor(pids: () => ReadonlyMap<number, string>) {
    this.#pids = pids;
  }

  /** `pids` names the host that each running process is. */
  static async start(
    hosts: readonly LinkedHost[],
    pids: () => ReadonlyMap<number, string>,
  ): Promise<Links> {
    const links = new Links(pids);
    for (const { name, target, port } of hosts) {
      const proxy = await faultProxy.startFaultProxy({
        target,
        port,
        linkOf: (clientPort) => links.#linkOf(clientPort, port, name),
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

  async [Symbol.asyncDispose](): Promise<void> {
    for (const proxy of this.#proxies.values()) {
      await proxy[Symbol.asyncDispose]();
    }
  }

  #linksOf(name: string): faultProxy.Link[] {
    const others = [...this.#proxies.keys()].filter((other) => other !== name);
    return others.flatMap((other) => [
      this.link(name, other),
      this.link(other, name),
    ]);
  }

  async #linkOf(
    clientPort: number,
    serverPort: number,
    to: string,
  ): Promise<faultProxy.Link | undefined> {
    const pids = this.#pids();
    const pid = await socketOwner.findSocketOwner(
      clientPort,
      serverPort,
      [...pids.keys()],
    );
    const from = pid === undefined ? undefined : pids.get(pid);
    return from === undefined ? undefined : this.link(from, to);
  }
}
