/**
 * A replica with its store, its listener and a list as state machine.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import type { replication as core } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as fleet from "../../src/fleet/mod.ts";
import * as replication from "../../src/replication/mod.ts";
import * as storage from "../../src/storage/mod.ts";

export const SECRET = "secret-of-the-test-fleet";

/** Keeps all applied commands. */
export class ListMachine implements replication.StateMachine {
  commands: string[] = [];

  apply(entries: core.Entry[]): void {
    for (const { payload } of entries) {
      if (payload.kind === "command") {
        this.commands.push(payload.data);
      }
    }
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  restore(snapshot: Buffer): void {
    this.commands = JSON.parse(snapshot.toString());
  }
}

/** Differences between hosts. */
export type HostOptions = {
  folder: string;
  name: string;
  port: number;
  disk?: storage.FileSystem;
  groupCommit?: boolean;
  snapshotEntries?: number;
};

/** One replica on a port of 127.0.0.1. */
export class Host implements AsyncDisposable {
  readonly driver: replication.ReplicationDriver;
  readonly machine: ListMachine;
  readonly rpc: fleet.RpcServer;
  failure: unknown = null;
  #server: http.Server;
  #store: storage.Store;
  #transport: replication.HttpTransport;
  #forming = new AbortController();

  private constructor(
    options: HostOptions,
    server: http.Server,
    store: storage.Store,
  ) {
    const address = `127.0.0.1:${options.port}`;
    const self = { id: store.recovered.identity.id, address };
    this.#server = server;
    this.#store = store;
    this.#transport = new replication.HttpTransport({ self, secret: SECRET });
    this.machine = new ListMachine();
    this.driver = new replication.ReplicationDriver({
      self,
      store,
      machine: this.machine,
      transport: this.#transport,
      onFailure: (error) => this.failure = error,
      groupCommit: options.groupCommit ?? true,
      snapshotEntries: options.snapshotEntries ?? 10_000,
    });
    this.rpc = new fleet.RpcServer(SECRET);
    this.rpc.addMethod(
      protocol.replication.MESSAGES_METHOD,
      protocol.replication.messageBatchSchema,
      (batch) => this.driver.receive(batch),
    );
    server.on("request", (request, response) => {
      void this.rpc.handle(request, response);
    });
  }

  /** Opens the store, listens and starts the driver. */
  static async open(options: HostOptions): Promise<Host> {
    const { name, disk, groupCommit } = options;
    const store = await storage.openStore(options.folder, {
      name,
      ...(disk === undefined ? {} : { fileSystem: disk }),
      ...(groupCommit === undefined ? {} : { groupCommit }),
    });
    const server = http.createServer();
    const host = new Host(options, server, store);
    server.listen(options.port, "127.0.0.1");
    await once(server, "listening");
    host.driver.start();
    return host;
  }

  /** Forms a group with other hosts of this process. */
  async form(hosts: Host[]): Promise<void> {
    const byAddress = new Map(
      hosts.map((host) => [host.driver.self.address, host]),
    );
    await replication.bootstrapGroup(
      this.driver,
      [...byAddress.keys()],
      (address) =>
        Promise.resolve((byAddress.get(address) as Host).driver.identity()),
      this.#forming.signal,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#forming.abort();
    await this.driver[Symbol.asyncDispose]();
    await this.#transport[Symbol.asyncDispose]();
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
    await this.#store[Symbol.asyncDispose]();
  }
}

/** A port that was free a moment ago. */
export async function freePort(): Promise<number> {
  const server = net.createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
