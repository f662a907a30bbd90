import { Buffer } from "node:buffer";
import * as http from "node:http";
import type * as net from "node:net";
import { replication } from "@ebonypath/protocol";
import { expect } from "chai";
import * as v from "valibot";
import * as fleet from "../../src/fleet/mod.ts";

const SECRET = "fleet-secret-for-tests";

interface Listener {
  readonly address: string;
  close(): Promise<void>;
}

async function listen(rpc: fleet.RpcServer): Promise<Listener> {
  const server = http.createServer((request, response) => {
    rpc.handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const port = (server.address() as net.AddressInfo).port;
  return {
    address: `127.0.0.1:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}

function createNameServer(
  name: string,
  leader: string | null,
): fleet.RpcServer {
  const rpc = new fleet.RpcServer(SECRET);
  rpc.addMethod("fleet.name", v.object({}), () => {
    if (leader === name) return name;
    throw new fleet.NotLeader("fleet.name", name, leader);
  });
  return rpc;
}

describe("fleet RPC", () => {
  it("returns a result and rejects a wrong secret", async () => {
    const listener = await listen(createNameServer("a", "a"));
    await using authorized = new fleet.RpcClient({ secret: SECRET });
    await using unauthorized = new fleet.RpcClient({ secret: "wrong" });
    expect(await authorized.call(listener.address, "fleet.name", {}, 2_000)).to
      .equal(
        "a",
      );
    const error = await unauthorized.call(
      listener.address,
      "fleet.name",
      {},
      2_000,
    )
      .catch((cause: unknown) => cause);
    expect(error).to.be.instanceOf(fleet.RemoteError);
    await listener.close();
  });

  it("compresses large bodies both ways once the server has offered it", async () => {
    const rpc = new fleet.RpcServer(SECRET);
    const text = "configuration ".repeat(10_000);
    rpc.addMethod("fleet.echo", v.string(), (sent) => sent);
    const listener = await listen(rpc);
    await using client = new fleet.RpcClient({ secret: SECRET });
    const bytes: number[] = [];
    for (let count = 0; count < 2; count++) {
      const sent = await client.call(
        listener.address,
        "fleet.echo",
        text,
        2_000,
      );
      expect(sent).to.equal(text);
      bytes.push(rpc.takeCounts().bytes);
    }
    expect(bytes[0]).to.be.above(text.length);
    expect(bytes[1]).to.be.below(text.length / 10);
    await listener.close();
  });

  it("refuses a body that grows beyond the limit", () => {
    const { bytes, headers } = fleet.encodeBody(
      Buffer.from("a".repeat(100_000)),
      true,
    );
    expect(() => fleet.decodeBody(bytes, headers["content-encoding"], 10_000))
      .to.throw();
  });

  it("sends only the content-length header and keeps the connection open", async () => {
    const listener = await listen(createNameServer("a", "a"));
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const ports = new Set<number | undefined>();
    for (let count = 0; count < 2; count++) {
      const answer = await new Promise<http.IncomingMessage>((resolve) => {
        http.request(`http://${listener.address}/rpc`, {
          agent,
          method: "POST",
          headers: { authorization: `Bearer ${SECRET}` },
        }, resolve).end('{"jsonrpc":"2.0","id":1,"method":"fleet.name"}');
      });
      expect(Object.keys(answer.headers)).to.deep.equal(["content-length"]);
      ports.add(answer.socket.localPort);
      await answer.forEach(() => undefined);
    }
    expect(ports.size).to.equal(1);
    agent.destroy();
    await listener.close();
  });

  it("refuses a call that only the leader takes without reading its body", async () => {
    const rpc = new fleet.RpcServer(SECRET);
    let parsed = 0;
    const counting = v.pipe(
      v.unknown(),
      v.transform((params) => {
        parsed += 1;
        return params;
      }),
    );
    rpc.addMethod("fleet.report", counting, () => "taken");
    let leader: string | null | undefined = "10.0.0.1:7";
    rpc.addLeaderGuard(
      ["fleet.report"],
      () => leader === undefined ? undefined : { leader },
    );
    const listener = await listen(rpc);
    await using client = new fleet.RpcClient({ secret: SECRET });
    const params = { records: "r".repeat(1_000_000) };
    const call = () =>
      client.call(listener.address, "fleet.report", params, 2_000);
    for (let count = 0; count < 3; count++) {
      const error = await call().catch((cause: unknown) => cause);
      expect(error).to.be.instanceOf(fleet.NotLeader);
      expect((error as fleet.NotLeader).leader).to.equal("10.0.0.1:7");
    }
    expect(parsed).to.equal(0);
    leader = undefined;
    expect(await call()).to.equal("taken");
    expect(parsed).to.equal(1);
    await listener.close();
  });

  it("names the invalid parameter in the error", async () => {
    const rpc = new fleet.RpcServer(SECRET);
    rpc.addMethod("fleet.add", v.object({ left: v.number() }), () => 1);
    const listener = await listen(rpc);
    await using client = new fleet.RpcClient({ secret: SECRET });
    const error = await client.call(
      listener.address,
      "fleet.add",
      { left: "x" },
      2_000,
    ).catch((cause: unknown) => cause);
    expect(error).to.be.instanceOf(fleet.RemoteError);
    expect((error as Error).message).to.contain("left");
    await listener.close();
  });

  it("distinguishes an unanswered call from one that was not sent", async () => {
    const rpc = new fleet.RpcServer(SECRET);
    rpc.addMethod("fleet.wait", v.object({}), () => new Promise(() => {}));
    const listener = await listen(rpc);
    await using client = new fleet.RpcClient({ secret: SECRET });
    const unanswered = await client.call(
      listener.address,
      "fleet.wait",
      {},
      100,
    ).catch((cause: unknown) => cause);
    expect(unanswered).to.be.instanceOf(fleet.OutcomeUnknown);
    await listener.close();
    const unsent = await client.call(listener.address, "fleet.wait", {}, 2_000)
      .catch((cause: unknown) => cause);
    expect(unsent).to.be.instanceOf(fleet.Unreachable);
  });

  it("follows the redirect of a host that is not the leader", async () => {
    const leaderListener = await listen(createNameServer("leader", "leader"));
    const follower = new fleet.RpcServer(SECRET);
    follower.addMethod("fleet.name", v.object({}), () => {
      throw new fleet.NotLeader(
        "fleet.name",
        "follower",
        leaderListener.address,
      );
    });
    const followerListener = await listen(follower);
    await using client = new fleet.RpcClient({ secret: SECRET });
    const leader = new fleet.LeaderClient(client, [followerListener.address]);
    const limits = { attemptMs: 1_000, totalMs: 3_000, retryable: true };
    expect(await leader.call("fleet.name", {}, limits)).to.equal("leader");
    expect(leader.leader).to.equal(leaderListener.address);
    await leaderListener.close();
    await followerListener.close();
  });

  it("does not retry a call that is not retryable", async () => {
    const calledPeers: string[] = [];
    const rpc: fleet.RpcCaller = {
      call: (peer, method) => {
        if (method === replication.LEADER_METHOD) {
          return Promise.resolve({ leader: "one" });
        }
        calledPeers.push(peer);
        throw new fleet.OutcomeUnknown(method, peer, "no answer");
      },
    };
    const leader = new fleet.LeaderClient(rpc, ["one", "two"]);
    const limits = { attemptMs: 100, totalMs: 1_000, retryable: false };
    const error = await leader.call("state.propose", {}, limits)
      .catch((cause: unknown) => cause);
    expect(error).to.be.instanceOf(fleet.OutcomeUnknown);
    expect(calledPeers).to.deep.equal(["one"]);
  });
});
