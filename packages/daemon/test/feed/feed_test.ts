import * as http from "node:http";
import type * as net from "node:net";
import type * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as feed from "../../src/feed/mod.ts";
import * as fleet from "../../src/fleet/mod.ts";

/** Interval between heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 300;
/** Longer than the idle timeout of a feed connection, in milliseconds. */
const OBSERVATION_MS = 1_800;

const SERVERS_EVENT: protocol.control.FeedEvent = {
  kind: "servers",
  changed: [],
  removed: ["engine-1"],
};

/** Serves the feed of a leader on the loopback interface. */
class FeedServer implements AsyncDisposable {
  readonly publisher: feed.FeedPublisher;
  connections = 0;
  readonly #server: http.Server;

  private constructor(server: http.Server) {
    this.#server = server;
    this.publisher = new feed.FeedPublisher({
      term: () => 1,
      view: () => {
        throw new Error("unexpected snapshot");
      },
      servers: () => [],
      controlHosts: () => [],
      changes: () => new feed.ChangeLog(0),
    });
    server.on("request", (_, response: http.ServerResponse) => {
      this.connections++;
      this.publisher.attach({ host: "h1", index: 0 }, response);
    });
  }

  static async start(): Promise<FeedServer> {
    const server = http.createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    return new FeedServer(server);
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/**
 * Follows the feed for longer than the idle timeout, with or without
 * heartbeats, and then publishes an event.
 */
async function follow(
  sendsHeartbeats: boolean,
): Promise<{ connections: number; applied: protocol.control.FeedEvent[] }> {
  await using server = await FeedServer.start();
  await using rpc = new fleet.RpcClient({ secret: "secret" });
  const stop = new AbortController();
  const applied: protocol.control.FeedEvent[] = [];
  const following = feed.followFeed({
    host: "h1",
    rpc,
    leader: { leader: server.address, forgetLeader: () => undefined },
    index: () => 0,
    apply: (event) => applied.push(event),
  }, stop.signal);
  const heartbeats = setInterval(() => {
    if (sendsHeartbeats) server.publisher.heartbeat();
  }, HEARTBEAT_INTERVAL_MS);
  try {
    await wait.waitFor("the connection", () => server.connections === 1);
    const openedAt = performance.now();
    await wait.waitFor(
      "the end of the idle timeout",
      () => performance.now() - openedAt > OBSERVATION_MS,
    );
    server.publisher.publish(SERVERS_EVENT);
    await wait.waitFor("the event", () => applied.at(-1)?.kind === "servers");
    return { connections: server.connections, applied };
  } finally {
    clearInterval(heartbeats);
    stop.abort();
    await following;
  }
}

describe("feed", () => {
  it("keeps a connection that receives only heartbeats, which are not events", async () => {
    const { connections, applied } = await follow(true);
    expect(connections).to.equal(1);
    expect(applied.map(({ kind }) => kind)).to.deep.equal([
      "changes",
      "all-servers",
      "control-hosts",
      "servers",
    ]);
  });

  it("replaces a connection that receives nothing", async () => {
    const { connections } = await follow(false);
    expect(connections).to.be.greaterThan(1);
  });
});
