/**
 * A replica in a process of its own, for tests that kill it.
 *
 * Arguments: folder, name, port, whether to commit in groups, and the addresses
 * of all initial voters.
 *
 * @module
 */

import process from "node:process";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as fleet from "../../src/fleet/mod.ts";
import * as replication from "../../src/replication/mod.ts";
import { Host, SECRET } from "./host.ts";

const ASK_TIMEOUT_MS = 500;

const [folder = "", name = "", port = "", group = "", ...addresses] = process
  .argv.slice(2);
const groupCommit = group !== "single";
const host = await Host.open({ folder, name, port: Number(port), groupCommit });
const client = new fleet.RpcClient({ secret: SECRET });
const { IDENTITY_METHOD, identitySchema } = protocol.replication;

host.rpc.addMethod(IDENTITY_METHOD, v.object({}), () => host.driver.identity());
host.rpc.addMethod(
  "test.propose",
  v.object({ data: v.string() }),
  ({ data }) => host.driver.propose(data),
);
host.rpc.addMethod(
  "test.load",
  v.object({ callers: v.number(), seconds: v.number(), bytes: v.number() }),
  ({ callers, seconds, bytes }) => load(callers, seconds, bytes),
);
host.rpc.addMethod("test.commands", v.object({}), () => host.machine.commands);
host.rpc.addMethod("test.leads", v.object({}), () => host.driver.hasLease());

/** Latencies in milliseconds of all commits of some concurrent callers. */
async function load(callers: number, seconds: number, bytes: number) {
  const latencies: number[] = [];
  const data = "x".repeat(bytes);
  const end = performance.now() + seconds * 1_000;
  const run = async () => {
    while (performance.now() < end) {
      const start = performance.now();
      await host.driver.propose(data);
      latencies.push(performance.now() - start);
    }
  };
  await Promise.all(Array.from({ length: callers }, run));
  return latencies.sort((left, right) => left - right);
}

async function ask(address: string): Promise<protocol.replication.Identity> {
  const answer = await client.call(
    address,
    IDENTITY_METHOD,
    {},
    ASK_TIMEOUT_MS,
  );
  return v.parse(identitySchema, answer);
}

await replication.bootstrapGroup(
  host.driver,
  addresses,
  ask,
  new AbortController().signal,
);
