import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import type { replication as core } from "@ebonypath/core";
import * as replication from "../../src/replication/mod.ts";
import { SECRET } from "./test_replica.ts";

const SELF = { id: "a-1", address: "127.0.0.1:1" };

function message(term: number): core.Message {
  return { kind: "timeoutNow", term };
}

describe("replication transport", () => {
  let server: http.Server;
  let peer: core.Member;
  let received: number[];
  let sockets: Set<net.Socket>;
  let responds: boolean;

  beforeEach(async () => {
    received = [];
    sockets = new Set();
    responds = true;
    server = http.createServer(async (request, response) => {
      sockets.add(request.socket);
      let text = "";
      for await (const part of request) {
        text += part;
      }
      const { params } = JSON.parse(text);
      expect(request.headers.authorization).to.equal(`Bearer ${SECRET}`);
      expect([params.from, params.to]).to.deep.equal([SELF, "b-1"]);
      received.push(
        ...params.messages.map((sent: { term: number }) => sent.term),
      );
      if (responds) {
        response.writeHead(204).end();
      }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    peer = { id: "b-1", address: `127.0.0.1:${port}` };
  });
  afterEach(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });

  function open() {
    return new replication.HttpTransport({
      self: SELF,
      secret: SECRET,
      requestTimeoutMs: 100,
    });
  }

  it("sends in order over one connection", async () => {
    await using transport = open();
    for (let term = 1; term <= 20; term += 1) {
      transport.send(peer, [message(term)]);
    }
    await wait.waitFor("all messages", () => received.length === 20);
    expect(received).to.deep.equal(Array.from({ length: 20 }, (_, i) => i + 1));
    expect(sockets.size).to.equal(1);
  });

  it("replaces a connection that does not respond", async () => {
    await using transport = open();
    responds = false;
    transport.send(peer, [message(1)]);
    await wait.waitFor("the first message", () => received.length === 1);
    responds = true;
    transport.send(peer, [message(2)]);
    await wait.waitFor("the second message", () => received.length === 2);
    expect(sockets.size).to.equal(2);
  });

  it("keeps only the latest messages for a peer that does not respond", async () => {
    await using transport = open();
    responds = false;
    transport.send(peer, [message(1)]);
    await wait.waitFor("the first message", () => received.length === 1);
    const many = Array.from({ length: 2_000 }, (_, i) => message(i + 2));
    transport.send(peer, many);
    responds = true;
    await wait.waitFor("the last message", () => received.at(-1) === 2_001);
    expect(received).to.have.length(1 + 512);
  });
});
