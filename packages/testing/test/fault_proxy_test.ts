import { expect } from "chai";
import { once } from "node:events";
import * as net from "node:net";
import * as faultProxy from "../src/fault_proxy/mod.ts";
import * as wait from "../src/wait.ts";

/** An echo server and a client that reaches it through a proxy. */
class Bench {
  received = "";
  #server = net.createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  proxy!: faultProxy.FaultProxy;
  client!: net.Socket;

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as net.AddressInfo;
    const target = `127.0.0.1:${port}`;
    this.proxy = await faultProxy.startFaultProxy({ target });
    this.client = await this.connect();
  }

  async connect(): Promise<net.Socket> {
    const client = net.connect(this.proxy.port, "127.0.0.1");
    client.on("error", () => {});
    client.on("data", (chunk) => this.received += chunk.toString());
    await once(client, "connect");
    return client;
  }

  async echo(text: string, client = this.client): Promise<void> {
    client.write(text);
    await wait.waitFor(text, () => this.received.endsWith(text));
  }

  async stop(): Promise<void> {
    this.client.destroy();
    await this.proxy[Symbol.asyncDispose]();
    this.#server.close();
  }
}

describe("fault proxy", () => {
  let bench: Bench;

  beforeEach(async () => {
    bench = new Bench();
    await bench.start();
    await bench.echo("start");
  });

  afterEach(async () => await bench.stop());

  it("counts the bytes of each direction", () => {
    expect(bench.proxy.toTarget.bytes).to.equal(5);
    expect(bench.proxy.toClient.bytes).to.equal(5);
  });

  it("holds one direction back and delivers late", async () => {
    bench.proxy.toClient.hold();
    bench.client.write("late");
    await wait.waitFor("delivery", () => bench.proxy.toTarget.bytes === 9);
    expect(bench.received).to.equal("start");
    bench.proxy.toClient.release();
    await wait.waitFor("late bytes", () => bench.received === "startlate");
  });

  it("silences open connections for good while new ones work", async () => {
    bench.proxy.blackholeOpen();
    bench.client.write("lost");
    const second = await bench.connect();
    await bench.echo("new", second);
    expect(bench.received).to.equal("startnew");
    second.destroy();
  });

  it("refuses new connections and accepts them again", async () => {
    bench.proxy.refuseNew();
    const refused = await bench.connect().then(() => false, () => true);
    expect(refused).to.equal(true);
    await bench.echo("open");
    await bench.proxy.heal();
    (await bench.connect()).destroy();
  });

  it("cuts every connection", async () => {
    bench.proxy.cutAll();
    await wait.waitFor("the cut", () => bench.client.destroyed);
    expect(bench.proxy.openConnections).to.equal(0);
  });

  it("closes one direction", async () => {
    bench.proxy.halfClose("toClient");
    await once(bench.client, "end");
  });

  const paces = [
    { title: "delays", delayMs: 60, bytesPerSecond: Infinity, bytes: 4 },
    { title: "limits bandwidth", delayMs: 0, bytesPerSecond: 1e5, bytes: 6e3 },
  ];
  for (const { title, delayMs, bytesPerSecond, bytes } of paces) {
    it(title, async () => {
      Object.assign(bench.proxy.toTarget, { delayMs, bytesPerSecond });
      const startedAt = performance.now();
      await bench.echo("x".repeat(bytes));
      expect(performance.now() - startedAt).to.be.at.least(59);
    });
  }
});
