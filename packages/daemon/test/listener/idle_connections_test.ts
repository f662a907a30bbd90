import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import { expect } from "chai";
import { closeIdleConnections } from "../../src/listener/idle_connections.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

describe("closing idle connections", () => {
  let server: http.Server;
  let client: net.Socket;
  let received = "";

  beforeEach(async () => {
    received = "";
    server = http.createServer((_request, response) => response.end("ok"));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    client = net.connect(port, "127.0.0.1");
    client.on("data", (data) => received += data.toString());
    client.on("error", () => {});
    await once(client, "connect");
    client.write(REQUEST);
    await once(client, "data");
  });

  afterEach(() => {
    client.destroy();
    server.closeAllConnections();
    server.close();
  });

  it("answers a request that has arrived but was not read yet", async () => {
    received = "";
    client.write(REQUEST);
    await closeIdleConnections(server);
    await once(client, "data");
    expect(received).to.match(/^HTTP\/1.1 200 /);
  });

  it("closes a connection without a request", async () => {
    await closeIdleConnections(server);
    await once(client, "close");
  });
});
