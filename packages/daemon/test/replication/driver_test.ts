import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import * as fleet from "../../src/fleet/mod.ts";
import * as replication from "../../src/replication/mod.ts";
import * as storage from "../../src/storage/mod.ts";
import { FaultyDisk } from "../storage/faulty_disk.ts";
import { freePort, Host, type HostOptions } from "./host.ts";

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
  return await promise.then(
    () => Promise.reject(new Error("did not fail")),
    (error) => error,
  );
}

describe("replication driver", function () {
  this.timeout(30_000);
  let folder: string;
  let hosts: Host[];
  const disk = new Map<string, FaultyDisk>();

  async function open(name: string, options: Partial<HostOptions> = {}) {
    const faulty = new FaultyDisk();
    disk.set(name, faulty);
    const host = await Host.open({
      folder: path.join(folder, name),
      name,
      port: await freePort(),
      disk: faulty,
      ...options,
    });
    hosts.push(host);
    return host;
  }

  async function openGroup(size: number, options: Partial<HostOptions> = {}) {
    for (let number = 0; number < size; number += 1) {
      await open(`c${number}`, options);
    }
    await Promise.all(hosts.map((host) => host.form(hosts)));
  }

  function leader(): Promise<Host> {
    return wait.waitFor(
      "a leader with a lease",
      () => hosts.find(({ driver }) => driver.hasLease()),
    );
  }

  function allApplied(count: number): Promise<boolean> {
    return wait.waitFor(
      `${count} commands everywhere`,
      () => hosts.every(({ machine }) => machine.commands.length === count),
    );
  }

  async function proposeMany(host: Host, from: number, count: number) {
    const all = Array.from({ length: count }, (_, i) => `command ${from + i}`);
    await Promise.all(all.map((data) => host.driver.propose(data)));
  }

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "driver-"));
    hosts = [];
  });
  afterEach(async () => {
    await Promise.all(hosts.map((host) => host[Symbol.asyncDispose]()));
    await fs.rm(folder, { recursive: true, force: true });
  });

  it("commits alone in a group of one", async () => {
    await openGroup(1);
    const host = await leader();
    await host.driver.propose("only");
    expect(host.machine.commands).to.deep.equal(["only"]);
  });

  it("applies the same commands in the same order everywhere", async () => {
    await openGroup(3);
    await proposeMany(await leader(), 0, 200);
    await allApplied(200);
    const [first, ...others] = hosts.map(({ machine }) => machine.commands);
    others.forEach((commands) => expect(commands).to.deep.equal(first));
  });

  it("names the leader when another one is asked", async () => {
    await openGroup(3);
    const { driver } = await leader();
    const other = hosts.find((host) => host.driver !== driver) as Host;
    const error = await failureOf(other.driver.propose("x"));
    expect(error).to.be.instanceOf(fleet.NotLeader);
    expect((error as fleet.NotLeader).leader).to.equal(driver.self.address);
  });

  it("hands leadership over", async () => {
    await openGroup(3);
    const { driver } = await leader();
    await driver.propose("before");
    expect(await replication.handOverLeadership(driver)).to.equal(true);
    expect(driver.hasLease()).to.equal(false);
    const next = await leader();
    expect(next.driver).not.to.equal(driver);
    await next.driver.propose("after");
    await allApplied(2);
  });

  it("has nobody to hand leadership to in a group of one", async () => {
    await openGroup(1);
    const { driver } = await leader();
    expect(await replication.handOverLeadership(driver)).to.equal(false);
    expect(driver.hasLease()).to.equal(true);
  });

  for (const kind of ["write", "sync"] as const) {
    it(`stops leading when the disk fails to ${kind}`, async () => {
      await openGroup(3);
      const failing = await leader();
      await failing.driver.propose("kept");
      const name = failing.driver.self.id.split("-")[0] as string;
      const code = kind === "write" ? "ENOSPC" : "EIO";
      (disk.get(name) as FaultyDisk).fault = { kind, code };
      const error = await failureOf(failing.driver.propose("lost"));
      expect(error).to.be.instanceOf(fleet.OutcomeUnknown);
      expect(failing.failure).to.be.instanceOf(storage.StorageError);
      expect(failing.driver.hasLease()).to.equal(false);
      hosts = hosts.filter((host) => host !== failing);
      const next = await leader();
      await next.driver.propose("after");
      expect(next.machine.commands).to.include.members(["kept", "after"]);
      await failing[Symbol.asyncDispose]();
    });
  }

  it("replaces a voter by one that catches up from a snapshot", async () => {
    await openGroup(3, { snapshotEntries: 50 });
    const first = await leader();
    for (let from = 0; from < 300; from += 50) {
      await proposeMany(first, from, 50);
    }
    const gone = hosts.find((host) => host !== first) as Host;
    hosts = hosts.filter((host) => host !== gone);
    await gone[Symbol.asyncDispose]();
    const added = await open("c9");
    const { id } = added.driver.self;
    const member = added.driver.self;
    await first.driver.changeMembership({ kind: "addLearner", member });
    await wait.waitFor(
      "the learner to become a voter",
      () => first.driver.changeMembership({ kind: "promote", id }),
    );
    const removed = gone.driver.self.id;
    await first.driver.changeMembership({ kind: "remove", id: removed });
    await first.driver.propose("after");
    await allApplied(301);
    expect(added.machine.commands).to.deep.equal(first.machine.commands);
    const voters = first.driver.membership.voters.map((voter) => voter.id);
    expect(voters).to.include(id).and.not.include(removed);
    const error = await failureOf(
      first.driver.changeMembership({ kind: "remove", id: removed }),
    );
    expect((error as replication.ChangeRefused).reason)
      .to.equal("unknownMember");
  });
});

describe("formation", () => {
  const self = { id: "a-1", address: "a" };
  const other = { id: "b-1", address: "b" };
  const empty = (member: typeof self) => ({
    member,
    empty: true,
    formation: null,
  });
  const used = { member: other, empty: false, formation: null };
  const both = { voters: [self, other], learners: [] };
  const cases = [
    {
      name: "forms when all are empty",
      answers: [empty(other), empty(self)],
      expected: "form",
    },
    {
      name: "waits for a voter that does not answer",
      answers: [empty(self), null],
      expected: "wait",
    },
    {
      name: "waits to be added to a group that exists",
      answers: [empty(self), used],
      expected: "wait",
    },
    {
      name: "takes up a membership that names it",
      answers: [empty(self), { ...used, formation: both }],
      expected: "form",
    },
    {
      name: "waits when its old identity formed the group",
      answers: [empty({ id: "a-2", address: "a" }), {
        ...used,
        formation: both,
      }],
      expected: "wait",
      as: { id: "a-2", address: "a" },
    },
  ];
  for (const { name, answers, expected, as } of cases) {
    it(name, () => {
      const step = replication.decideBootstrap(as ?? self, answers);
      expect(step.kind).to.equal(expected);
      if (step.kind === "form") {
        expect(step.membership).to.deep.equal(both);
      }
    });
  }
});
