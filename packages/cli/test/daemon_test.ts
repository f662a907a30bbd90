import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as program from "../src/program.ts";

const ROOT = path.resolve(import.meta.dirname, "../../../..");
const DAEMON = path.join(ROOT, "packages/daemon/dist/src/main.js");
const EXAMPLES = path.join(ROOT, "examples");

describe("command line with a fleet of daemons", () => {
  let fleet: testing.launcher.Fleet;

  before(async () => {
    fleet = await testing.launcher.startFleet({ daemonPath: DAEMON, hosts: 3 });
  });

  after(() => fleet[Symbol.asyncDispose]());

  /** Runs a command at one host and returns its JSON document. */
  async function run(host: number, ...argv: string[]) {
    let text = "";
    const exit = await program.run([...argv, "--json"], {
      out: { write: (part) => text += part },
      error: { write: () => {} },
      environment: {
        EBONYPATH_SERVER: fleet.host(host).operators,
        EBONYPATH_TOKEN_FILE: path.join(fleet.folder, "admin.secret"),
      },
    });
    return { exit, document: JSON.parse(text) };
  }

  async function publish(host: number, ...options: string[]) {
    return await run(
      host,
      "publish",
      path.join(fleet.folder, "services"),
      ...options,
    );
  }

  async function writeServices(rate: number): Promise<void> {
    const folder = path.join(fleet.folder, "services");
    await fs.cp(EXAMPLES, folder, { recursive: true });
    for (const service of ["advice", "orders"]) {
      const file = path.join(folder, service, "ebonypath.toml");
      const text = await fs.readFile(file, "utf8");
      await fs.writeFile(file, text.replace("rate = 2000", `rate = ${rate}`));
    }
  }

  it("publishes at any host and is in force at all", async () => {
    await writeServices(2_000);
    const { exit, document } = await publish(1);
    expect(exit, JSON.stringify(document)).to.equal(0);
    expect(document.inForce.hosts).to.deep.equal([
      "host-1",
      "host-2",
      "host-3",
    ]);
    for (const host of fleet.hosts) {
      const { version } = await host.operator.status();
      expect(version).to.equal(document.version);
    }
  });

  it("gives a resend the result of the first try, at another host", async () => {
    await writeServices(2_001);
    const base = String((await run(0, "status")).document.version);
    const options = ["--base", base, "--change-id", "resend-1"];
    const first = await publish(0, ...options);
    const second = await publish(2, ...options);
    expect([first.exit, second.exit]).to.deep.equal([0, 0]);
    expect(second.document.version).to.equal(first.document.version);
  });

  it("lets one of two racing operators win and names the winner", async () => {
    await writeServices(2_002);
    const base = String((await run(0, "status")).document.version);
    const results = await Promise.all([
      publish(0, "--base", base),
      publish(1, "--base", base),
    ]);
    const exits = results.map(({ exit }) => exit).sort();
    expect(exits).to.deep.equal([0, 1]);
    const winner = results.find(({ exit }) => exit === 0)?.document;
    const loser = results.find(({ exit }) => exit === 1)?.document;
    const { problem } = loser.error;
    expect(problem.winner.version).to.equal(winner.version);
    expect(problem.winner.operator).to.equal("admin");
  });

  it("rolls back to an earlier version as a new one", async () => {
    const before = (await run(0, "status")).document.version;
    await writeServices(9);
    const published = (await publish(0)).document.version;
    const { exit, document } = await run(1, "rollback", String(before));
    expect(exit, JSON.stringify(document)).to.equal(0);
    expect(document.version).to.be.greaterThan(published);
    const again = await run(2, "rollback", String(before), "--dry-run");
    expect(again.document.differences).to.deep.equal([]);
  });

  it("grants and withdraws a key in force at every host", async () => {
    const { document } = await run(0, "key", "grant", "web-shop");
    for (const host of fleet.hosts) {
      expect(await listModels(host, document.key)).to.equal(200);
    }
    const { exit } = await run(1, "key", "withdraw", document.id);
    expect(exit).to.equal(0);
    for (const host of fleet.hosts) {
      expect(await listModels(host, document.key)).to.equal(401);
    }
  });

  it("explains a request and takes nothing of its rate", async () => {
    const { document: key } = await run(0, "key", "grant", "web-shop");
    const argv = ["explain", "advice/assistant-small", "--key", key.id];
    const first = await run(0, ...argv, "--tokens", "20000");
    expect(first.exit, JSON.stringify(first.document)).to.equal(0);
    const second = await run(0, ...argv, "--tokens", "20000");
    expect(second.document.rate.availableTokens)
      .to.be.at.least(first.document.rate.availableTokens);
    expect(second.document.rate.tokensAhead).to.equal(0);
  });

  it("tells what a request beyond the burst would be answered", async () => {
    const { document: key } = await run(0, "key", "grant", "web-shop");
    const argv = ["explain", "advice/assistant-small", "--key", key.id];
    const { document } = await run(1, ...argv, "--tokens", "20001");
    expect(document.forecast).to.deep.equal({
      kind: "refused",
      for: "burst",
      status: 413,
      retryAfterSeconds: null,
    });
  });

  const UNKNOWN: readonly (readonly [argv: string[], says: RegExp])[] = [
    [["advice/none", "--key", "k"], /no model or service advice\/none/],
    [["orders", "--method", "PUT"], /orders has no route PUT/],
    [["advice/assistant-small", "--key", "none"], /there is no key none/],
    [["advice/assistant-small"], /name the key of a caller/],
  ];
  for (const [argv, says] of UNKNOWN) {
    it(`explains nothing for ${argv.join(" ")}`, async () => {
      const { document, exit } = await run(2, "explain", ...argv);
      expect(exit).to.equal(1);
      expect(JSON.stringify(document)).to.match(says);
    });
  }

  it("takes a failure domain out and brings it back", async () => {
    const changes: [action: string, withdrawn: string[]][] = [
      ["withdraw", ["fd-2"]],
      ["restore", []],
    ];
    for (const [action, withdrawn] of changes) {
      const { exit } = await run(0, "failure-domain", action, "fd-2");
      expect(exit).to.equal(0);
      for (const host of fleet.hosts) {
        const status = await host.operator.status();
        expect(status.withdrawnFailureDomains).to.deep.equal(withdrawn);
      }
    }
  });

  it("tells how many voters may be lost", async () => {
    const { document } = await run(0, "members", "status");
    const roles = document.members.map((member: { role: string }) =>
      member.role
    );
    expect(roles).to.deep.equal(["voter", "voter", "voter"]);
    expect(document.mayLose).to.equal(1);
  });

  it("verifies the trail of what was changed", async () => {
    const { exit, document } = await run(0, "audit", "--verify");
    expect(exit).to.equal(0);
    expect(document.verification.kind).to.equal("valid");
    const actions = document.entries.map((entry: { action: string }) =>
      entry.action
    );
    expect(actions).to.include.members([
      "publish",
      "grant-key",
      "withdraw-key",
    ]);
  });
});

async function listModels(
  host: testing.launcher.FleetHost,
  key: string,
): Promise<number> {
  const headers = { authorization: `Bearer ${key}` };
  return (await fetch(`${host.callers}/v1/models`, { headers })).status;
}
