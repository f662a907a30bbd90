/**
 * A replication group whose replicas run in separate processes.
 *
 * @module
 */

import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as path from "node:path";
import process from "node:process";
import { wait } from "@ebonypath/testing";
import * as fleet from "../../src/fleet/mod.ts";
import { freePort, SECRET } from "./test_replica.ts";

const REPLICA_PROGRAM =
  new URL("./replica_process.js", import.meta.url).pathname;
const CALL_TIMEOUT_MS = 2_000;
const LEADER_TIMEOUT_MS = 20_000;

/** A group of replica processes that are started and killed together. */
export class ProcessCluster implements AsyncDisposable {
  readonly addresses: string[];
  #folder: string;
  #commit: "group" | "single";
  #client = new fleet.RpcClient({ secret: SECRET });
  #processes: childProcess.ChildProcess[] = [];

  private constructor(
    folder: string,
    addresses: string[],
    commit: "group" | "single",
  ) {
    this.#folder = folder;
    this.addresses = addresses;
    this.#commit = commit;
  }

  /** Chooses a free port for each replica; starts no process. */
  static async prepare(
    folder: string,
    size: number,
    commit: "group" | "single" = "group",
  ): Promise<ProcessCluster> {
    const ports = Array.from({ length: size }, freePort);
    const addresses = (await Promise.all(ports))
      .map((port) => `127.0.0.1:${port}`);
    return new ProcessCluster(folder, addresses, commit);
  }

  startAll(): void {
    this.#processes = this.addresses.map((address, number) => {
      const name = `c${number}`;
      const port = address.split(":")[1] ?? "";
      const replicaFolder = path.join(this.#folder, name);
      const args = [
        REPLICA_PROGRAM,
        replicaFolder,
        name,
        port,
        this.#commit,
        ...this.addresses,
      ];
      return childProcess.spawn(process.execPath, args, { stdio: "ignore" });
    });
  }

  async killAll(): Promise<void> {
    const exits = this.#processes.map((child) => once(child, "exit"));
    this.#processes.forEach((child) => child.kill("SIGKILL"));
    this.#processes = [];
    await Promise.all(exits);
  }

  call(
    address: string,
    method: string,
    params: object = {},
    timeoutMs: number = CALL_TIMEOUT_MS,
  ): Promise<unknown> {
    return this.#client.call(address, method, params, timeoutMs);
  }

  /** Waits for a leader with a lease; returns its address. */
  leader(): Promise<string> {
    return wait.waitFor("a leader", async () => {
      for (const address of this.addresses) {
        const leads = await this.call(address, "test.leads").catch(() => false);
        if (leads === true) {
          return address;
        }
      }
      return undefined;
    }, { timeoutMs: LEADER_TIMEOUT_MS });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.killAll();
    await this.#client[Symbol.asyncDispose]();
  }
}
