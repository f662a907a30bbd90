import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { expect } from "chai";
import * as callerConnection from "../../src/listener/caller_connection.ts";

const REQUEST = "DELETE /a HTTP/1.1\r\nHost: h\r\n\r\n";
/** Blocks the event loop for longer than a close takes to arrive, in ms. */
const BUSY_MS = 100;

describe("isCallerWaiting", () => {
  let server: http.Server;
  let port: number;
  let answers: Promise<boolean>[];

  beforeEach(async () => {
    answers = [];
    server = http.createServer((request, response) => {
      const answer = callerConnection.isCallerWaiting(request);
      answers.push(answer);
      void answer.then((isWaiting) => response.end(String(isWaiting)));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    port = (server.address() as net.AddressInfo).port;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  async function connect(): Promise<net.Socket> {
    const socket = net.connect(port, "127.0.0.1");
    await once(socket, "connect");
    return socket;
  }

  async function answer(): Promise<boolean | undefined> {
    while (answers.length === 0) await timers.setTimeout(1);
    return await answers[0];
  }

  it("is true while the caller waits, also on a connection in use before", async () => {
    const socket = await connect();
    for (let count = 0; count < 2; count += 1) {
      socket.write(REQUEST);
      const [data] = await once(socket, "data");
      expect(String(data)).to.include("true");
    }
    socket.destroy();
  });

  // A process that wakes reads a request before the end of its connection.
  it("is false for a caller that left before its request was read", async () => {
    const socket = await connect();
    socket.write(REQUEST);
    socket.end();
    const until = performance.now() + BUSY_MS;
    while (performance.now() < until);
    expect(await answer()).to.equal(false);
    socket.destroy();
  });

  it("is false for a caller that leaves meanwhile", async () => {
    const socket = await connect();
    socket.write(REQUEST, () => socket.resetAndDestroy());
    expect(await answer()).to.equal(false);
  });
});
