import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import { expect } from "chai";
import * as guardedAgent from "../../src/gateway/guarded_agent.ts";

const BODY = Buffer.from(Array.from({ length: 300_000 }, (_, i) => i % 251));

describe("GuardedAgent", () => {
  let server: http.Server;
  let port: number;

  before(async () => {
    server = http.createServer((_request, response) => response.end(BODY));
    await once(server.listen(0, "127.0.0.1"), "listening");
    ({ port } = server.address() as net.AddressInfo);
  });

  after(() => server.close());

  it("reads a connection in parts of 16 KiB at most, and whole", async () => {
    const parts: number[] = [];
    const agent = new guardedAgent.GuardedAgent();
    const request = http.get({ agent, host: "127.0.0.1", port });
    request.on("socket", (socket) => {
      socket.on("data", (part: Buffer) => parts.push(part.length));
    });
    const [response] = await once(request, "response");
    const chunks: Buffer[] = [];
    for await (const chunk of response) chunks.push(chunk);
    expect(Buffer.concat(chunks).equals(BODY)).to.equal(true);
    expect(Math.max(...parts)).to.be.at.most(16_384);
  });
});
