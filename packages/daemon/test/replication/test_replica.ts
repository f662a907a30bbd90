/**
 * A replica for tests, with a store, an HTTP listener and a state machine that
 * lists the applied commands.
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

/** Keeps all applied commands in a list. */
export class CommandListMachine implements replication.StateMachine {
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

/** Options of {@link TestReplica}. */
export type TestReplicaOptions = {
  folder: string;
  name: string;
  port: number;
  fileSystem?: storage.FileSystem;
  groupCommit?: boolean;
  snapshotEntries?: number;
};

/** One replica on a port of 127.0.0.1. */
export class TestReplica implements AsyncDisposable {
  readonly driver: replication.ReplicationDriver;
  readonly machine: CommandListMachine;
  readonly rpc: fleet.RpcServer;
  failure: unknown = null;
  #server: http.Server;
  #store: storage.Store;
  #transport: replication.HttpTransport;
  #bootstrapAbort = new AbortController();

  private constructor(
    options: TestReplicaOptions,
    server: http.Server,
    store: storage.Store,
  ) {
    const address = `127.0.0.1:${options.port}`;
    const self = { id: store.recovered.identity.id, address };
    this.#server = server;
    this.#store = store;
    this.#transport = new replication.HttpTransport({ self, secret: SECRET });
    this.machine = new CommandListMachine();
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

  /** Opens the store, starts the listener and starts the driver. */
  static async open(options: TestReplicaOptions): Promise<TestReplica> {
    const { name, fileSystem, groupCommit } = options;
    const store = await storage.openStore(options.folder, {
      name,
      ...(fileSystem === undefined ? {} : { fileSystem }),
      ...(groupCommit === undefined ? {} : { groupCommit }),
    });
    const server = http.createServer();
    const replica = new TestReplica(options, server, store);
    server.listen(options.port, "127.0.0.1");
    await once(server, "listening");
    replica.driver.start();
    return replica;
  }

  /** Bootstraps a group with other replicas of this process. */
  async bootstrap(replicas: TestReplica[]): Promise<void> {
    const byAddress = new Map(
      replicas.map((replica) => [replica.driver.self.address, replica]),
    );
    await replication.bootstrapGroup(
      this.driver,
      [...byAddress.keys()],
      (address) =>
        Promise.resolve(
          (byAddress.get(address) as TestReplica).driver.identity(),
        ),
      this.#bootstrapAbort.signal,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#bootstrapAbort.abort();
    await this.driver[Symbol.asyncDispose]();
    await this.#transport[Symbol.asyncDispose]();
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
    await this.#store[Symbol.asyncDispose]();
  }
}

/** Returns a free port. Another process may take it before it is used. */
export async function freePort(): Promise<number> {
  const server = net.createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
