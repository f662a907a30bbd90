/**
 * Runs a replica in a separate process, for tests that kill it.
 *
 * Arguments: folder, name, port, `group` or `single` commit, and the addresses of
 * all initial voters.
 *
 * @module
 */

import process from "node:process";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as fleet from "../../src/fleet/mod.ts";
import * as replication from "../../src/replication/mod.ts";
import { SECRET, TestReplica } from "./test_replica.ts";

const IDENTITY_TIMEOUT_MS = 500;

const [folder = "", name = "", port = "", commit = "", ...addresses] = process
  .argv.slice(2);
const groupCommit = commit !== "single";
const replica = await TestReplica.open({
  folder,
  name,
  port: Number(port),
  groupCommit,
});
const client = new fleet.RpcClient({ secret: SECRET });
const { IDENTITY_METHOD, identitySchema } = protocol.replication;

replica.rpc.addMethod(
  IDENTITY_METHOD,
  v.object({}),
  () => replica.driver.identity(),
);
replica.rpc.addMethod(
  "test.propose",
  v.object({ data: v.string() }),
  ({ data }) => replica.driver.propose(data),
);
replica.rpc.addMethod(
  "test.load",
  v.object({ callers: v.number(), seconds: v.number(), bytes: v.number() }),
  ({ callers, seconds, bytes }) => measureLatencies(callers, seconds, bytes),
);
replica.rpc.addMethod(
  "test.commands",
  v.object({}),
  () => replica.machine.commands,
);
replica.rpc.addMethod(
  "test.leads",
  v.object({}),
  () => replica.driver.hasLease(),
);

/** Sorted latencies in milliseconds of the commits of concurrent callers. */
async function measureLatencies(
  callers: number,
  seconds: number,
  bytes: number,
) {
  const latencies: number[] = [];
  const data = "x".repeat(bytes);
  const end = performance.now() + seconds * 1_000;
  const runCaller = async () => {
    while (performance.now() < end) {
      const start = performance.now();
      await replica.driver.propose(data);
      latencies.push(performance.now() - start);
    }
  };
  await Promise.all(Array.from({ length: callers }, runCaller));
  return latencies.sort((left, right) => left - right);
}

async function fetchIdentity(
  address: string,
): Promise<protocol.replication.Identity> {
  const answer = await client.call(
    address,
    IDENTITY_METHOD,
    {},
    IDENTITY_TIMEOUT_MS,
  );
  return v.parse(identitySchema, answer);
}

await replication.bootstrapGroup(
  replica.driver,
  addresses,
  fetchIdentity,
  new AbortController().signal,
);
