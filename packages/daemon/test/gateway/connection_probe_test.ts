import { once } from "node:events";
import * as net from "node:net";
import { expect } from "chai";
import * as connectionProbe from "../../src/gateway/entry/connection_probe.ts";

describe("a probe of connections to a server", () => {
  it("tells a listening process from one that is gone", async () => {
    const server = net.createServer((socket) => socket.destroy());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    const address = `127.0.0.1:${port}`;
    expect(await connectionProbe.probe(address)).to.equal("listening");
    server.close();
    await once(server, "close");
    expect(await connectionProbe.probe(address)).to.equal("refused");
  });

  for (const address of ["127.0.0.1:70000", "127.0.0.1:0", "host:80", ""]) {
    it(`does not throw for the invalid address "${address}"`, async () => {
      expect(await connectionProbe.probe(address)).to.equal("silent");
    });
  }
});
