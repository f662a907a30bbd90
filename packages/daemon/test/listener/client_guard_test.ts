import type * as net from "node:net";
import * as http from "node:http";
import * as sockets from "node:net";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { listener } from "../../src/mod.ts";

const LIMITS = {
  maxConnections: 20,
  maxRequestsAhead: 4,
  maxRequestsAheadInAll: 40,
  maxBodyBytes: 1_000_000,
  maxUnreadBytes: 1_000_000,
  bodyTimeoutMs: 10_000,
};
const AHEAD = "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n".repeat(100);
const CHUNKED = "POST / HTTP/1.1\r\nHost: shop.example\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

/** Serves on loopback while a test runs. */
async function serve<T>(
  handler: http.RequestListener,
  use: (port: number, server: http.Server) => Promise<T>,
): Promise<T> {
  const server = listener.createGuardedServer(
    { name: "test", limits: LIMITS },
    {},
    handler,
  );
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  try {
    return await use((server.address() as net.AddressInfo).port, server);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function connect(port: number, text: string): sockets.Socket {
  const socket = sockets.connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.pause();
  socket.write(text);
  return socket;
}

function countConnections(server: http.Server): Promise<number> {
  return new Promise((resolve, reject) =>
    server.getConnections((error, count) =>
      error ? reject(error) : resolve(count)
    )
  );
}

describe("guarded server", () => {
  it("lets go of connections with too many requests ahead", async () => {
    await serve((_request, response) => void response.end(), async (
      port,
      server,
    ) => {
      const clients = Array.from({ length: 10 }, () => connect(port, AHEAD));
      await wait.waitFor(
        "all connections to be closed",
        async () => await countConnections(server) === 0,
      );
      for (const client of clients) client.destroy();
    });
  });

  it("answers others while it drops a body in chunks of a byte", async () => {
    await serve((_request, response) => void response.end(), async (port) => {
      const client = connect(port, CHUNKED + "1\r\nx\r\n".repeat(100_000));
      const answer = await fetch(`http://127.0.0.1:${port}/`);
      expect(answer.status).to.equal(200);
      client.destroy();
    });
  });

  it("serves a body in chunks of a byte", async () => {
    const count: http.RequestListener = (request, response) => {
      let bytes = 0;
      request.on("data", (chunk) => bytes += chunk.length);
      request.on("end", () => response.end(String(bytes)));
    };
    await serve(count, async (port) => {
      const client = connect(
        port,
        CHUNKED + "1\r\nx\r\n".repeat(50_000) + "0\r\n\r\n",
      );
      const answer = await new Promise<string>((resolve) => {
        client.on("data", (data) => resolve(data.toString()));
        client.resume();
      });
      expect(answer).to.match(/\r\n50000$/);
      client.destroy();
    });
  });
});
