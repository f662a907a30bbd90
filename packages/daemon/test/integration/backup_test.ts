import * as fs from "node:fs/promises";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const DAEMON = fileURLToPath(new URL("../../src/main.js", import.meta.url));
const VOTERS = 3;
const WORKSPACE = "web-shop";

describe("copies of the data folders", () => {
  let fleet: launcher.Fleet;

  before(async () => {
    fleet = await launcher.startFleet({
      daemonPath: DAEMON,
      hosts: VOTERS + 1,
      voters: VOTERS,
    });
  });

  after(async () => await fleet?.[Symbol.asyncDispose]());

  const voters = () => fleet.hosts.slice(0, VOTERS);

  async function stop(hosts: readonly launcher.FleetHost[]): Promise<void> {
    for (const host of hosts) host.process.signal("SIGTERM");
    await Promise.all(hosts.map((host) => host.process.waitForExit()));
  }

  async function start(hosts: readonly launcher.FleetHost[]): Promise<void> {
    for (const host of hosts) host.launch();
    await Promise.all(hosts.map((host) => host.waitUntilReady()));
  }

  async function statusOf(key: string): Promise<number> {
    const asked = new caller.Caller(fleet.host(0).callers, key);
    return (await asked.call("GET", "/v1/models")).status;
  }

  it("bring the state of all stopped voters back", async () => {
    const data = path.join(fleet.folder, "data");
    const copy = path.join(fleet.folder, "copy");
    const before = fleet.host(0).operator;
    await before.publish(scenarios.CONFIGURATION);
    const kept = await before.grantKey(WORKSPACE);
    await stop(voters());
    await fs.cp(data, copy, { recursive: true });

    await start(voters());
    const { operator } = fleet.host(0);
    await operator.withdrawKey(kept.id);
    const later = await operator.grantKey(WORKSPACE);
    const { index } = await operator.status();
    const entry = fleet.host(VOTERS);
    await wait.waitFor(
      "the last change at the entry host",
      async () => (await entry.operator.status()).index >= index,
    );

    await stop(voters());
    await fs.rm(data, { recursive: true });
    await fs.cp(copy, data, { recursive: true });
    await start(voters());
    expect(await statusOf(kept.key)).to.equal(200);
    expect(await statusOf(later.key)).to.equal(401);

    // This host has seen what the restored voters have never heard of.
    await wait.waitFor(
      "the entry host to be refused",
      async () => !(await entry.operator.status()).current,
    );
    await entry.restart();
    const again = await fleet.host(0).operator.grantKey(WORKSPACE);
    await wait.waitFor(
      "a change after the restore",
      async () => {
        const asked = new caller.Caller(entry.callers, again.key);
        return (await asked.call("GET", "/v1/models")).status === 200;
      },
    );
  });
});
