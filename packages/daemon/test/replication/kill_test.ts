import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import * as fleet from "../../src/fleet/mod.ts";
import { freePort, SECRET } from "./host.ts";

const CALL_TIMEOUT_MS = 2_000;
const PROGRAM = new URL("./replica_process.js", import.meta.url).pathname;

describe("replicas in processes", function () {
  this.timeout(60_000);
  let folder: string;
  let addresses: string[];
  let processes: childProcess.ChildProcess[];
  let client: fleet.RpcClient;

  function startAll() {
    processes = addresses.map((address, number) => {
      const name = `c${number}`;
      const port = address.split(":")[1] ?? "";
      const home = path.join(folder, name);
      return childProcess.spawn(
        process.execPath,
        [PROGRAM, home, name, port, ...addresses],
        { stdio: "ignore" },
      );
    });
  }

  async function killAll() {
    const ends = processes.map((child) => once(child, "exit"));
    processes.forEach((child) => child.kill("SIGKILL"));
    await Promise.all(ends);
  }

  function call(address: string, method: string, params: object) {
    return client.call(address, method, params, CALL_TIMEOUT_MS);
  }

  function leader(): Promise<string> {
    return wait.waitFor("a leader", async () => {
      for (const address of addresses) {
        const leads = await call(address, "test.leads", {}).catch(() => false);
        if (leads === true) {
          return address;
        }
      }
      return undefined;
    }, { timeoutMs: 20_000 });
  }

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "kill-"));
    client = new fleet.RpcClient({ secret: SECRET });
    const ports = await Promise.all([freePort(), freePort(), freePort()]);
    addresses = ports.map((port) => `127.0.0.1:${port}`);
  });
  afterEach(async () => {
    await killAll();
    await client[Symbol.asyncDispose]();
    await fs.rm(folder, { recursive: true, force: true });
  });

  it("loses no acknowledged command when all are killed at once", async () => {
    const acknowledged: string[] = [];
    let proposed = 0;
    startAll();
    for (let round = 0; round < 3; round += 1) {
      const address = await leader();
      const enough = acknowledged.length + 40;
      const callers = Array.from({ length: 8 }, async () => {
        for (;;) {
          proposed += 1;
          const data = `command ${proposed}`;
          await call(address, "test.propose", { data });
          acknowledged.push(data);
        }
      });
      const ended = Promise.allSettled(callers);
      await wait.waitFor("40 more", () => acknowledged.length >= enough);
      await killAll();
      await ended;
      startAll();
    }
    await call(await leader(), "test.propose", { data: "last" });
    const lists = await wait.waitFor("all to apply the last one", async () => {
      const all = await Promise.all(
        addresses.map((address) => call(address, "test.commands", {})),
      ) as string[][];
      return all.every((commands) => commands.at(-1) === "last") ? all : false;
    });
    const [first = [], ...others] = lists;
    others.forEach((commands) => expect(commands).to.deep.equal(first));
    const counts = new Map<string, number>();
    first.forEach((data) => counts.set(data, (counts.get(data) ?? 0) + 1));
    const wrong = acknowledged.filter((data) => counts.get(data) !== 1);
    expect(wrong).to.deep.equal([]);
    expect(acknowledged.length).to.be.at.least(120);
  });
});
