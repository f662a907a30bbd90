import * as http from "node:http";
import type * as net from "node:net";
import type * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as feed from "../../src/feed/mod.ts";
import * as fleet from "../../src/fleet/mod.ts";

/** Time between two heartbeats of the test, in milliseconds. */
const HEARTBEAT_MS = 300;
/** Longer than a link may stay without a line, in milliseconds. */
const SILENCE_MS = 1_800;

const SERVERS: protocol.control.FeedEvent = {
  kind: "servers",
  changed: [],
  removed: ["engine-1"],
};

/** A leader's feed on loopback. */
class Leader implements AsyncDisposable {
  readonly publisher: feed.FeedPublisher;
  opened = 0;
  readonly #server: http.Server;

  private constructor(server: http.Server) {
    this.#server = server;
    this.publisher = new feed.FeedPublisher({
      term: () => 1,
      view: () => {
        throw new Error("not wanted");
      },
      servers: () => [],
      controlHosts: () => [],
      changes: () => new feed.ChangeLog(0),
    });
    server.on("request", (_, response: http.ServerResponse) => {
      this.opened++;
      this.publisher.attach({ host: "h1", index: 0 }, response);
    });
  }

  static async start(): Promise<Leader> {
    const server = http.createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    return new Leader(server);
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** Follows a leader until its heartbeats were late, had there been none. */
async function follow(
  hasHeartbeats: boolean,
): Promise<{ opened: number; applied: protocol.control.FeedEvent[] }> {
  await using leader = await Leader.start();
  await using rpc = new fleet.RpcClient({ secret: "secret" });
  const stop = new AbortController();
  const applied: protocol.control.FeedEvent[] = [];
  const following = feed.followFeed({
    host: "h1",
    rpc,
    leader: { leader: leader.address, forgetLeader: () => undefined },
    index: () => 0,
    apply: (event) => applied.push(event),
  }, stop.signal);
  const heartbeats = setInterval(() => {
    if (hasHeartbeats) leader.publisher.heartbeat();
  }, HEARTBEAT_MS);
  try {
    await wait.waitFor("the link", () => leader.opened === 1);
    const openedAt = performance.now();
    await wait.waitFor(
      "the time in which a silent link is replaced",
      () => performance.now() - openedAt > SILENCE_MS,
    );
    leader.publisher.publish(SERVERS);
    await wait.waitFor("the event", () => applied.at(-1)?.kind === "servers");
    return { opened: leader.opened, applied };
  } finally {
    clearInterval(heartbeats);
    stop.abort();
    await following;
  }
}

describe("feed", () => {
  it("keeps a link on which only heartbeats come, and gives no event for them", async () => {
    const { opened, applied } = await follow(true);
    expect(opened).to.equal(1);
    expect(applied.map(({ kind }) => kind)).to.deep.equal([
      "changes",
      "all-servers",
      "control-hosts",
      "servers",
    ]);
  });

  it("replaces a link on which nothing comes", async () => {
    const { opened } = await follow(false);
    expect(opened).to.be.greaterThan(1);
  });
});
