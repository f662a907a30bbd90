/**
 * Probes servers that no connection could be opened to, so that callers' requests
 * need not try them.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import type * as connectionProbe from "./connection_probe.ts";

const write = log.createLog("prober");

/** Dependencies and callbacks of a `ServerProber`. */
export interface ServerProberOptions {
  readonly availability: core.gateway.ServerAvailability;
  probe(address: string): Promise<connectionProbe.ProbeResult>;
  /** Called when a server can be reached again. */
  onReachable(): void;
}

/** Runs one probe of each server at a time. */
export class ServerProber {
  readonly #options: ServerProberOptions;
  readonly #probed = new Set<string>();

  constructor(options: ServerProberOptions) {
    this.#options = options;
  }

  /** Starts a probe of a server, unless one is in progress. */
  probe(server: gateway.ServerRecord): void {
    if (this.#probed.has(server.id)) return;
    this.#probed.add(server.id);
    void this.#run(server).finally(() => this.#probed.delete(server.id));
  }

  async #run(server: gateway.ServerRecord): Promise<void> {
    const { availability, onReachable, probe } = this.#options;
    const result = await probe(server.address);
    if (result === "listening") {
      availability.recordReachable(server);
      write("reachable", { server: server.id });
      onReachable();
    } else {
      availability.recordUnreachable(server, performance.now());
    }
  }
}
