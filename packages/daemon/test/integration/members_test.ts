import type { operators } from "@ebonypath/protocol";
import { type launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as scenarios from "./scenario.ts";

/** Longest wait for changes to go on after a host is lost, in milliseconds. */
const GOING_ON_MS = 15_000;
/** Messages of a removed voter after which it is shown to be ignored. */
const VOTE_REQUESTS = 5;

type Member = operators.Member;

describe("members of the replicated state", () => {
  let scenario: scenarios.Scenario;
  let fleet: launcher.Fleet;
  let number = 0;

  beforeEach(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 5,
      voters: 3,
      withLinks: true,
      plains: [{}],
    });
    fleet = scenario.fleet;
  });

  afterEach(async () => await scenario?.[Symbol.asyncDispose]());

  /** A host that is never a control host. */
  function entry(): launcher.FleetHost {
    return fleet.host(4);
  }

  async function members(): Promise<operators.Members> {
    return await entry().operator.call("GET", "/v1/members");
  }

  function hostOf({ address }: Member): launcher.FleetHost {
    const host = fleet.hosts.find((one) =>
      one.options.fleetAddress === address
    );
    if (host === undefined) throw new Error(`no host at ${address}`);
    return host;
  }

  async function voters(): Promise<{ leader: Member; others: Member[] }> {
    const { members: all } = await members();
    const leader = all.find(({ leads }) => leads);
    if (leader === undefined) throw new Error("no leader");
    const others = all.filter((one) => one !== leader && one.role === "voter");
    return { leader, others };
  }

  /** Sends a change until its outcome is known. */
  async function change(
    kind: "remove" | "replace",
    body: object,
  ): Promise<number> {
    number += 1;
    const sent = { changeId: `members-${number}`, ...body };
    const { index } = await wait.waitFor(
      `the result of ${kind}`,
      () =>
        entry().operator.call<operators.ChangeResponse>(
          "POST",
          `/v1/members/${kind}`,
          sent,
        ),
      { timeoutMs: GOING_ON_MS },
    );
    return index;
  }

  function dataFolder(host: launcher.FleetHost): string {
    return path.join(fleet.folder, "data", host.name);
  }

  /** Starts an entry host again as a control host with an empty folder. */
  async function makeControlHost(host: launcher.FleetHost): Promise<void> {
    const { settingsFile } = host.options;
    const text = await fs.readFile(settingsFile, "utf8");
    const control = text.replace(
      /^roles = .*$/m,
      `roles = ["entry", "control"]\ndata_folder = "data/${host.name}"`,
    );
    await fs.writeFile(settingsFile, control);
    await host.restart();
  }

  /** Grants keys one after another; `end` gives those acknowledged. */
  function grantKeys() {
    const acknowledged: string[] = [];
    let isEnding = false;
    const done = (async () => {
      while (!isEnding) {
        await entry().operator.grantKey("web-shop").then(
          ({ id }) => acknowledged.push(id),
          () => undefined,
        );
      }
    })();
    return {
      acknowledged,
      async end(): Promise<string[]> {
        isEnding = true;
        await done;
        return acknowledged;
      },
    };
  }

  async function grantedKeys(): Promise<string[]> {
    const { keys } = await entry().operator.call<operators.Keys>(
      "GET",
      "/v1/keys",
    );
    return keys.map(({ id }) => id);
  }

  async function publishing(): Promise<number> {
    return await wait.waitFor(
      "a publishing",
      () => entry().operator.publish(scenarios.CONFIGURATION),
      { timeoutMs: GOING_ON_MS },
    );
  }

  for (const isLeaderLost of [false, true]) {
    const first = isLeaderLost ? "the leader" : "a follower";
    it(`loses nothing when ${first} is replaced and then another voter dies`, async () => {
      const spare = fleet.host(3);
      await makeControlHost(spare);
      const { leader, others } = await voters();
      const [follower, third] = others as [Member, Member];
      const lost = isLeaderLost ? leader : follower;
      const answered = await scenario.caller(4).order("before", "before");
      expect(answered.status).to.equal(200);
      const grants = grantKeys();
      await hostOf(lost).process.kill9();
      const address = spare.options.fleetAddress;
      const index = await change("replace", { id: lost.id, address });
      await hostOf(isLeaderLost ? third : leader).process.kill9();
      const published = await publishing();
      const acknowledged = await grants.end();
      expect(published).to.be.greaterThan(index);
      expect(await grantedKeys()).to.include.members(acknowledged);
      const again = await wait.waitFor("the answer again", async () => {
        const reply = await scenario.caller(4).order("before", "before");
        return reply.status === 200 ? reply : undefined;
      });
      expect(again.text).to.equal(answered.text);
      expect(scenario.executionsOf("before")).to.equal(1);
      const after = await members();
      const added = after.members.find((one) => one.address === address);
      expect(added?.role).to.equal("voter");
      expect(after.members.map(({ id }) => id)).to.not.include(lost.id);
    });
  }

  it("doesn't count a voter that lost its disk until it is replaced", async () => {
    const { leader, others } = await voters();
    const [wiped, third] = others as [Member, Member];
    const host = hostOf(wiped);
    await host.process.kill9();
    await fs.rm(dataFolder(host), { recursive: true });
    await host.restart();
    await host.process.waitForLine(/event=not_formed .*members replace/);
    const without = await wait.waitFor("the loss to show", async () => {
      const all = await members();
      return all.mayLose === 0 ? all : undefined;
    });
    expect(without.members.map(({ id }) => id)).to.include(wiped.id);
    await hostOf(third).process.kill9();
    await wait.waitFor("the end of the leadership", async () => {
      const status = await hostOf(leader).operator.status();
      return !status.current;
    });
    const refused = await host.operator.publish(scenarios.CONFIGURATION)
      .then(() => "accepted", () => "refused");
    expect(refused).to.equal("refused");
    await hostOf(third).restart();
    await change("replace", { id: wiped.id, address: wiped.address });
    await wait.waitFor(
      "a sound group",
      async () => (await members()).mayLose === 1,
    );
  });

  it("stops a voter whose log is gone while its identity is left", async () => {
    const { others } = await voters();
    const host = hostOf(others[0] as Member);
    await host.process.kill9();
    const folder = dataFolder(host);
    for (const name of await fs.readdir(folder)) {
      if (name !== "identity.bin") await fs.rm(path.join(folder, name));
    }
    host.launch();
    const { code } = await host.process.waitForExit();
    expect(code).to.equal(1);
    await host.process.waitForLine(/ebonypathd: .*members replace/);
  });

  it("is not disturbed by a removed voter that still runs", async () => {
    const { leader, others } = await voters();
    const [removed, third] = others as [Member, Member];
    const { name } = hostOf(removed);
    fleet.links.isolate(name);
    await change("remove", { id: removed.id });
    const before = await members();
    fleet.links.healFrom(name); // It must not learn of its removal.
    const way = fleet.links.link(name, hostOf(third).name).toTarget;
    for (let request = 0; request < VOTE_REQUESTS; request += 1) {
      const { bytes } = way;
      await wait.waitFor("a request for votes", () => way.bytes > bytes, {
        describe: () => hostOf(removed).process.tail,
      });
    }
    const after = await members();
    expect(after.term).to.equal(before.term);
    expect(after.members.find(({ leads }) => leads)?.id).to.equal(leader.id);
    await publishing();
  });
});
