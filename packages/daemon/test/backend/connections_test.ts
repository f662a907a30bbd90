import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as connections from "../../src/backend/connections.ts";

interface Server extends AsyncDisposable {
  readonly origin: string;
  readonly sockets: Set<net.Socket>;
  /** Connections that were ever accepted. */
  accepted(): number;
}

async function startServer(): Promise<Server> {
  const sockets = new Set<net.Socket>();
  let accepted = 0;
  const server = http.createServer((_, response) => response.end("ok"));
  server.on("connection", (socket: net.Socket) => {
    accepted += 1;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    sockets,
    accepted: () => accepted,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

async function ask(connection: connections.PooledConnection): Promise<void> {
  const { body } = await connection.client.request({
    method: "GET",
    path: "/",
  });
  expect(await body.text()).to.equal("ok");
}

describe("kept connections", () => {
  it("gives each request one of its own", async () => {
    await using server = await startServer();
    await using kept = new connections.ConnectionPool();
    const taken = Array.from({ length: 3 }, () => kept.acquire(server.origin));
    await Promise.all(taken.map(ask));
    expect(server.accepted()).to.equal(3);
    for (const connection of taken) connection.release(true);
  });

  it("uses the one that was used last", async () => {
    await using server = await startServer();
    await using kept = new connections.ConnectionPool();
    const taken = Array.from({ length: 3 }, () => kept.acquire(server.origin));
    await Promise.all(taken.map(ask));
    for (const connection of taken) connection.release(true);
    for (let turn = 0; turn < 5; turn += 1) {
      const connection = kept.acquire(server.origin);
      expect(connection.client).to.equal(taken[2]?.client);
      await ask(connection);
      connection.release(true);
    }
    expect(server.accepted()).to.equal(3);
  });

  it("closes one whose answer was not whole", async () => {
    await using server = await startServer();
    await using kept = new connections.ConnectionPool();
    const broken = kept.acquire(server.origin);
    await ask(broken);
    broken.release(false);
    await wait.waitFor("the close", () => server.sockets.size === 0);
    const next = kept.acquire(server.origin);
    expect(next.client).to.not.equal(broken.client);
    next.release(true);
  });

  it("takes one back only once", async () => {
    await using server = await startServer();
    await using kept = new connections.ConnectionPool();
    const connection = kept.acquire(server.origin);
    await ask(connection);
    connection.release(true);
    connection.release(true);
    const [first, second] = [
      kept.acquire(server.origin),
      kept.acquire(server.origin),
    ];
    expect(first.client).to.not.equal(second.client);
    first.release(true);
    second.release(true);
  });

  it("lets a retired one end its request and closes it then", async () => {
    await using server = await startServer();
    await using kept = new connections.ConnectionPool();
    const [unused, used] = [
      kept.acquire(server.origin),
      kept.acquire(server.origin),
    ];
    await ask(unused);
    unused.release(true);
    kept.retire(server.origin);
    await wait.waitFor("the close", () => server.sockets.size === 0);
    await ask(used);
    expect(server.sockets.size).to.equal(1);
    used.release(true);
    await wait.waitFor("the close", () => server.sockets.size === 0);
  });
});
