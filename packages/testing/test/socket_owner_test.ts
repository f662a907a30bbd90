import * as net from "node:net";
import * as process from "node:process";
import { expect } from "chai";
import * as socketOwner from "../src/launcher/socket_owner.ts";

const REST = "01 00000000:00000000 00:00000000 00000000     0        0";
const TABLE = [
  "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when",
  `   0: 0100007F:0050 00000000:0000 ${REST} 11 1`,
  `   1: 0100007F:0050 0100007F:9C41 ${REST} 12 1`,
  `   2: 0100007F:9C41 0100007F:0051 ${REST} 13 1`,
  `  10: 0100007F:9C41 0100007F:0050 ${REST} 14 1`,
  "",
].join("\n");

const CASES: [title: string, client: number, server: number, inode?: string][] =
  [
    ["the client's end, not the server's", 0x9c41, 0x50, "14"],
    ["one of two connections of a port", 0x9c41, 0x51, "13"],
    ["nothing for a connection that is gone", 0x9c42, 0x50],
  ];

describe("owner of a connection", () => {
  for (const [title, client, server, inode] of CASES) {
    it(`finds ${title}`, () => {
      expect(socketOwner.findInode(TABLE, client, server)).to.equal(inode);
    });
  }

  it("is found for many connections at once", async () => {
    const server = net.createServer().listen(0, "127.0.0.1");
    await new Promise((resolve) => server.once("listening", resolve));
    const { port } = server.address() as net.AddressInfo;
    const sockets = await Promise.all(
      Array.from({ length: 8 }, () => connect(port)),
    );
    const owners = await Promise.all(
      sockets.map((socket) =>
        socketOwner.findSocketOwner(
          socket.localPort as number,
          port,
          [process.pid],
        )
      ),
    );
    for (const socket of sockets) socket.destroy();
    server.close();
    expect(new Set(owners)).to.deep.equal(new Set([process.pid]));
  });
});

function connect(port: number): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1", () => resolve(socket));
    socket.on("error", reject);
  });
}
