import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as connections from "../../src/backend/connections.ts";

interface TestServer extends AsyncDisposable {
  readonly origin: string;
  readonly sockets: Set<net.Socket>;
  /** Number of connections accepted so far. */
  acceptedCount(): number;
}

async function startTestServer(): Promise<TestServer> {
  const sockets = new Set<net.Socket>();
  let acceptedCount = 0;
  const server = http.createServer((_, response) => response.end("ok"));
  server.on("connection", (socket: net.Socket) => {
    acceptedCount += 1;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    sockets,
    acceptedCount: () => acceptedCount,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

async function sendRequest(
  connection: connections.PooledConnection,
): Promise<void> {
  const { body } = await connection.client.request({
    method: "GET",
    path: "/",
  });
  expect(await body.text()).to.equal("ok");
}

describe("connection pool", () => {
  it("gives each concurrent request its own connection", async () => {
    await using server = await startTestServer();
    await using pool = new connections.ConnectionPool();
    const acquired = Array.from(
      { length: 3 },
      () => pool.acquire(server.origin),
    );
    await Promise.all(acquired.map(sendRequest));
    expect(server.acceptedCount()).to.equal(3);
    for (const connection of acquired) connection.release(true);
  });

  it("reuses the most recently used connection first", async () => {
    await using server = await startTestServer();
    await using pool = new connections.ConnectionPool();
    const acquired = Array.from(
      { length: 3 },
      () => pool.acquire(server.origin),
    );
    await Promise.all(acquired.map(sendRequest));
    for (const connection of acquired) connection.release(true);
    for (let round = 0; round < 5; round += 1) {
      const connection = pool.acquire(server.origin);
      expect(connection.client).to.equal(acquired[2]?.client);
      await sendRequest(connection);
      connection.release(true);
    }
    expect(server.acceptedCount()).to.equal(3);
  });

  it("closes a connection after an incomplete response", async () => {
    await using server = await startTestServer();
    await using pool = new connections.ConnectionPool();
    const broken = pool.acquire(server.origin);
    await sendRequest(broken);
    broken.release(false);
    await wait.waitFor(
      "the connection to close",
      () => server.sockets.size === 0,
    );
    const next = pool.acquire(server.origin);
    expect(next.client).to.not.equal(broken.client);
    next.release(true);
  });

  it("ignores a second release of a connection", async () => {
    await using server = await startTestServer();
    await using pool = new connections.ConnectionPool();
    const connection = pool.acquire(server.origin);
    await sendRequest(connection);
    connection.release(true);
    connection.release(true);
    const [first, second] = [
      pool.acquire(server.origin),
      pool.acquire(server.origin),
    ];
    expect(first.client).to.not.equal(second.client);
    first.release(true);
    second.release(true);
  });

  it("closes a retired connection after its active request ends", async () => {
    await using server = await startTestServer();
    await using pool = new connections.ConnectionPool();
    const [idle, active] = [
      pool.acquire(server.origin),
      pool.acquire(server.origin),
    ];
    await sendRequest(idle);
    idle.release(true);
    pool.retire(server.origin);
    await wait.waitFor(
      "the connection to close",
      () => server.sockets.size === 0,
    );
    await sendRequest(active);
    expect(server.sockets.size).to.equal(1);
    active.release(true);
    await wait.waitFor(
      "the connection to close",
      () => server.sockets.size === 0,
    );
  });
});
