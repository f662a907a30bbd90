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

  /** Sizes of the parts that a response is read in, and its body. */
  async function read(agent: http.Agent) {
    const parts: number[] = [];
    const onPart = (part: Buffer) => parts.push(part.length);
    const request = http.get({ agent, host: "127.0.0.1", port });
    request.on("socket", (socket) => socket.on("data", onPart));
    const [response] = await once(request, "response");
    const chunks: Buffer[] = [];
    for await (const chunk of response) chunks.push(chunk);
    request.socket?.off("data", onPart);
    return { parts, body: Buffer.concat(chunks), request };
  }

  it("reads a connection in parts of 16 KiB at most, and whole", async () => {
    const { body, parts } = await read(new guardedAgent.GuardedAgent());
    expect(body.equals(BODY)).to.equal(true);
    expect(Math.max(...parts)).to.be.at.most(16_384);
  });

  it("reads 2 KiB of each response at first, as others wait for that", async () => {
    const agent = new guardedAgent.GuardedAgent({ keepAlive: true });
    const first = await read(agent);
    const second = await read(agent);
    agent.destroy();
    expect(second.request.reusedSocket).to.equal(true);
    expect([first.parts[0], second.parts[0]]).to.deep.equal([2_048, 2_048]);
  });
});
