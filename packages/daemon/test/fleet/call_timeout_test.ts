import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import process from "node:process";
import { expect } from "chai";
import * as fleet from "../../src/fleet/mod.ts";

/** Time limit of a call, and of those that hold connections, in ms. */
const TIMEOUT_MS = 300;
const HELD_MS = 2_000;
/** Time within which a call has to end after its limit, in milliseconds. */
const SLACK_MS = 300;
/** More calls than a client opens connections to one peer. */
const HELD_CALLS = 16;
/** More connections than a listener with the shortest queue accepts. */
const QUEUED_CONNECTIONS = 8;
/** A process that listens, says at which port, and is suspended. */
const SUSPENDED_LISTENER = `
  const server = require("node:net").createServer();
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () =>
    process.stdout.write(String(server.address().port), () =>
      process.kill(process.pid, "SIGSTOP")));
`;

/** Time that a call takes to fail, in milliseconds. */
async function failureMs(
  client: fleet.RpcClient,
  peer: string,
): Promise<number> {
  const startedAt = performance.now();
  await client.call(peer, "fleet.ping", {}, TIMEOUT_MS).then(
    () => expect.fail("the call was answered"),
    () => undefined,
  );
  return performance.now() - startedAt;
}

describe("a call to another host", () => {
  it("ends at its time limit while no connection is free", async () => {
    const server = http.createServer(() => undefined);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const peer = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    await using client = new fleet.RpcClient({ secret: "s" });
    const held = Array.from(
      { length: HELD_CALLS },
      () => client.call(peer, "fleet.wait", {}, HELD_MS).catch(() => undefined),
    );
    try {
      expect(await failureMs(client, peer)).to.be.below(TIMEOUT_MS + SLACK_MS);
    } finally {
      server.closeAllConnections();
      server.close();
      await Promise.all(held);
    }
  });

  it("ends at its time limit while no connection can be opened", async () => {
    const listener = childProcess.spawn(
      process.execPath,
      ["-e", SUSPENDED_LISTENER],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    const [port] = await once(listener.stdout, "data");
    const queued = Array.from(
      { length: QUEUED_CONNECTIONS },
      () => net.connect(Number(port), "127.0.0.1").on("error", () => undefined),
    );
    await once(queued[0] ?? expect.fail("no connection"), "connect");
    await using client = new fleet.RpcClient({ secret: "s" });
    try {
      const tookMs = await failureMs(client, `127.0.0.1:${port}`);
      expect(tookMs).to.be.below(TIMEOUT_MS + SLACK_MS);
    } finally {
      for (const socket of queued) socket.destroy();
      listener.kill("SIGKILL");
    }
  });
});
