import * as fs from "node:fs/promises";
import * as path from "node:path";
import type * as protocol from "@ebonypath/protocol";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as program from "../src/program.ts";

const DAEMON = path.resolve(
  import.meta.dirname,
  "../../../daemon/dist/src/main.js",
);

type Members = protocol.operators.Members;

describe("members of a running fleet", () => {
  let fleet: testing.launcher.Fleet;

  before(async () => {
    fleet = await testing.launcher.startFleet({ daemonPath: DAEMON, hosts: 3 });
  });

  after(() => fleet[Symbol.asyncDispose]());

  /** Runs a command with the first two hosts as servers. */
  async function run(...argv: string[]) {
    let text = "";
    const servers = [fleet.host(0), fleet.host(1)];
    const exit = await program.run([...argv, "--json"], {
      out: { write: (part) => text += part },
      error: { write: () => {} },
      environment: {
        EBONYPATH_SERVER: servers.map(({ operators }) => operators).join(),
        EBONYPATH_TOKEN_FILE: path.join(fleet.folder, "admin.secret"),
      },
    });
    return { exit, document: JSON.parse(text) };
  }

  async function members(): Promise<Members> {
    return (await run("members", "list")).document;
  }

  async function memberAt(host: testing.launcher.FleetHost) {
    const { members: all } = await members();
    const found = all.find(({ address }) =>
      address === host.options.fleetAddress
    );
    if (found === undefined) throw new Error(`${host.name} is no member`);
    return found;
  }

  /** Starts a host again without its state, as after the loss of its disk. */
  async function loseDisk(host: testing.launcher.FleetHost): Promise<void> {
    await host.process.kill9();
    const { settingsFile } = host.options;
    const text = await fs.readFile(settingsFile, "utf8");
    await fs.writeFile(settingsFile, text.replace(/^initial_voters.*$/m, ""));
    const folder = path.join(fleet.folder, "data", host.name);
    await fs.rm(folder, { recursive: true });
    await host.restart();
  }

  const REFUSED: [
    title: string,
    argv: (member: protocol.operators.Member) => string[],
  ][] = [
    [
      "an address at which nothing answers",
      () => ["members", "add", "127.0.0.1:1"],
    ],
    ["a host that is a member", ({ address }) => ["members", "add", address]],
    ["an unknown member", () => ["members", "remove", "nobody"]],
    [
      "an unknown member to replace",
      ({ address }) => ["members", "replace", "nobody", address],
    ],
    [
      "a member that would replace itself",
      ({ id, address }) => ["members", "replace", id, address],
    ],
  ];

  it("refuses what it can't do and changes nothing", async () => {
    const before = (await members()).members.map(({ id }) => id);
    for (const [title, argv] of REFUSED) {
      const member = await memberAt(fleet.host(1));
      const { exit, document } = await run(...argv(member));
      expect(exit, `${title}: ${JSON.stringify(document)}`).to.equal(1);
    }
    expect((await members()).members.map(({ id }) => id)).to.deep.equal(before);
  });

  it("replaces a voter that lost its disk by its new identity", async () => {
    const lost = fleet.host(2);
    const old = await memberAt(lost);
    await loseDisk(lost);
    const address = lost.options.fleetAddress;
    const replacement = ["members", "replace", old.id, address];
    replacement.push("--change-id", "replace-1");
    const { exit, document } = await run(...replacement);
    expect(exit, JSON.stringify(document)).to.equal(0);
    expect((await run(...replacement)).document).to.deep.equal(document);
    const after = await testing.wait.waitFor("a sound group", async () => {
      const all = await members();
      return all.mayLose === 1 ? all : undefined;
    });
    expect(after.members.map(({ role }) => role)).to.deep.equal([
      "voter",
      "voter",
      "voter",
    ]);
    expect(after.members.map(({ id }) => id)).to.not.include(old.id);
    const { entries } = (await run("audit")).document;
    const subjects = entries.map((entry: { subject: string }) => entry.subject);
    expect(subjects).to.include(`replace ${old.id} by ${address}`);
  });

  it("removes a voter for good, once when it is sent again", async () => {
    const removed = await memberAt(fleet.host(2));
    const removal = ["members", "remove", removed.id, "--change-id", "r1"];
    const first = await run(...removal);
    expect(first.exit).to.equal(0);
    expect(await run(...removal)).to.deep.equal(first);
    const after = await members();
    expect(after.members.map(({ id }) => id)).to.not.include(removed.id);
    expect(after.mayLose).to.equal(0);
    const again = await run("members", "remove", removed.id);
    expect(again.exit).to.equal(1);
  });
});
