import { fileURLToPath } from "node:url";
import * as path from "node:path";
import type { configuration } from "@ebonypath/protocol";
import { launcher, wait } from "@ebonypath/testing";
import * as catalogue from "./catalogue.ts";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
const DAEMON = path.join(ROOT, "packages/daemon/dist/src/main.js");
const FAKE = path.join(ROOT, "packages/testing/dist/src/fake_backend/main.js");

/** Starts real hosts; the first `voters` of them hold the state. */
export async function startHosts(
  hosts: number,
  options: Partial<launcher.FleetOptions> = {},
): Promise<launcher.Fleet> {
  return await launcher.startFleet({
    daemonPath: DAEMON,
    hosts,
    voters: 1,
    ...options,
  });
}

/** A fake backend server in a process of its own. */
export interface RemoteFake extends AsyncDisposable {
  readonly address: string;
}

/** Starts a fake in a process of its own, so that it does not share a core. */
export async function startRemoteFake(
  fleet: launcher.Fleet,
  options: Readonly<Record<string, unknown>>,
): Promise<RemoteFake> {
  const text = JSON.stringify({
    entries: fleet.backends,
    joinToken: fleet.secrets.joinToken,
    ...options,
  });
  const process = launcher.launch(FAKE, [text]);
  const line = await process.waitForLine(/event=listening/);
  const address = /address=(\S+)/.exec(line)?.[1] as string;
  return {
    address,
    [Symbol.asyncDispose]: () => process[Symbol.asyncDispose](),
  };
}

/** Starts the one plain service of an experiment. */
export async function startPlainFake(
  fleet: launcher.Fleet,
  options: Readonly<{ concurrency: number; callMs?: number }>,
): Promise<RemoteFake> {
  return await startRemoteFake(fleet, {
    id: "plain-1",
    kind: "plain",
    services: ["plain"],
    ...options,
  });
}

/** Publishes and returns the milliseconds until all hosts have it in force. */
export async function publish(
  fleet: launcher.Fleet,
  wanted: configuration.Configuration,
): Promise<number> {
  const { operator } = fleet.host(0);
  const base = (await operator.status()).version;
  const start = performance.now();
  await operator.publish(wanted);
  await wait.waitFor("the version to be in force everywhere", async () => {
    const statuses = await Promise.all(
      fleet.hosts.map((host) => host.operator.status()),
    );
    return statuses.every(({ version }) => version > base);
  });
  return performance.now() - start;
}

/**
 * Publishes one service for one workspace.
 *
 * @returns a key of the workspace
 */
export async function publishService(
  fleet: launcher.Fleet,
  service: configuration.Service,
  workspace = catalogue.workspace("w0"),
): Promise<string> {
  await publish(fleet, { workspaces: [workspace], services: [service] });
  const { key } = await fleet.host(0).operator.grantKey(workspace.name);
  return key;
}

/** Waits until the first host knows this many backend servers. */
export async function waitForServers(
  fleet: launcher.Fleet,
  count: number,
): Promise<void> {
  await wait.waitFor(`${count} backend servers`, async () => {
    const { servers } = await fleet.host(0).operator.status();
    return servers.filter(({ usable }) => usable).length >= count;
  });
}
