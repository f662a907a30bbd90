/**
 * A replica in a process of its own, for tests that kill it.
 *
 * Arguments: folder, name, port, and the addresses of all initial voters.
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

const [folder = "", name = "", port = "", ...addresses] = process.argv.slice(2);
const host = await Host.open({ folder, name, port: Number(port) });
const client = new fleet.RpcClient({ secret: SECRET });
const { METHOD_IDENTITY, identitySchema } = protocol.replication;

host.rpc.addMethod(METHOD_IDENTITY, v.object({}), () => host.driver.identity());
host.rpc.addMethod(
  "test.propose",
  v.object({ data: v.string() }),
  ({ data }) => host.driver.propose(data),
);
host.rpc.addMethod("test.commands", v.object({}), () => host.machine.commands);
host.rpc.addMethod("test.leads", v.object({}), () => host.driver.hasLease());

async function ask(address: string): Promise<protocol.replication.Identity> {
  const answer = await client.call(
    address,
    METHOD_IDENTITY,
    {},
    ASK_TIMEOUT_MS,
  );
  return v.parse(identitySchema, answer);
}

await replication.formGroup(
  host.driver,
  addresses,
  ask,
  new AbortController().signal,
);
