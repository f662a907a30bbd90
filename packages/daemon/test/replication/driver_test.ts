import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import * as fleet from "../../src/fleet/mod.ts";
import * as replication from "../../src/replication/mod.ts";
import * as storage from "../../src/storage/mod.ts";
import { FaultyFileSystem } from "../storage/faulty_file_system.ts";
import {
  freePort,
  TestReplica,
  type TestReplicaOptions,
} from "./test_replica.ts";

/** Longest time until a leader with a full disk has handed over. */
const HAND_OVER_MS = 1_000;

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
  return await promise.then(
    () => Promise.reject(new Error("the operation did not fail")),
    (error) => error,
  );
}

describe("replication driver", function () {
  this.timeout(30_000);
  let folder: string;
  let replicas: TestReplica[];
  const fileSystems = new Map<string, FaultyFileSystem>();

  async function open(name: string, options: Partial<TestReplicaOptions> = {}) {
    const fileSystem = new FaultyFileSystem();
    fileSystems.set(name, fileSystem);
    const replica = await TestReplica.open({
      folder: path.join(folder, name),
      name,
      port: await freePort(),
      fileSystem,
      ...options,
    });
    replicas.push(replica);
    return replica;
  }

  async function openGroup(
    size: number,
    options: Partial<TestReplicaOptions> = {},
  ) {
    for (let number = 0; number < size; number += 1) {
      await open(`c${number}`, options);
    }
    await Promise.all(replicas.map((replica) => replica.bootstrap(replicas)));
  }

  function leader(): Promise<TestReplica> {
    return wait.waitFor(
      "a leader with a lease",
      () => replicas.find(({ driver }) => driver.hasLease()),
    );
  }

  function allApplied(count: number): Promise<boolean> {
    return wait.waitFor(
      `${count} commands applied on every replica`,
      () => replicas.every(({ machine }) => machine.commands.length === count),
    );
  }

  async function proposeMany(
    replica: TestReplica,
    from: number,
    count: number,
  ) {
    const commands = Array.from(
      { length: count },
      (_, i) => `command ${from + i}`,
    );
    await Promise.all(commands.map((data) => replica.driver.propose(data)));
  }

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "driver-"));
    replicas = [];
  });
  afterEach(async () => {
    await Promise.all(
      replicas.map((replica) => replica[Symbol.asyncDispose]()),
    );
    await fs.rm(folder, { recursive: true, force: true });
  });

  it("commits in a group of one", async () => {
    await openGroup(1);
    const replica = await leader();
    await replica.driver.propose("only");
    expect(replica.machine.commands).to.deep.equal(["only"]);
  });

  it("applies the same commands in the same order on every replica", async () => {
    await openGroup(3);
    await proposeMany(await leader(), 0, 200);
    await allApplied(200);
    const [first, ...others] = replicas.map(({ machine }) => machine.commands);
    others.forEach((commands) => expect(commands).to.deep.equal(first));
  });

  it("returns the leader's address from a follower", async () => {
    await openGroup(3);
    const { driver } = await leader();
    const follower = replicas.find((replica) =>
      replica.driver !== driver
    ) as TestReplica;
    const error = await failureOf(follower.driver.propose("x"));
    expect(error).to.be.instanceOf(fleet.NotLeader);
    expect((error as fleet.NotLeader).leader).to.equal(driver.self.address);
  });

  it("transfers leadership", async () => {
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

  it("has no successor in a group of one", async () => {
    await openGroup(1);
    const { driver } = await leader();
    expect(await replication.handOverLeadership(driver)).to.equal(false);
    expect(driver.hasLease()).to.equal(true);
  });

  for (const kind of ["write", "sync"] as const) {
    it(`stops leading when a ${kind} of its store fails`, async () => {
      await openGroup(3);
      const failing = await leader();
      await failing.driver.propose("kept");
      const name = failing.driver.self.id.split("-")[0] as string;
      const fault = { kind, code: "EIO" };
      (fileSystems.get(name) as FaultyFileSystem).fault = fault;
      const error = await failureOf(failing.driver.propose("lost"));
      expect(error).to.be.instanceOf(fleet.OutcomeUnknown);
      expect(failing.failure).to.be.instanceOf(storage.StorageError);
      expect(failing.driver.hasLease()).to.equal(false);
      replicas = replicas.filter((replica) => replica !== failing);
      const next = await leader();
      await next.driver.propose("after");
      expect(next.machine.commands).to.include.members(["kept", "after"]);
      await failing[Symbol.asyncDispose]();
    });
  }

  for (const kind of ["write", "sync"] as const) {
    it(`goes on at another leader, and follows it later, when a ${kind} finds no space`, async () => {
      await openGroup(3);
      const full = await leader();
      await full.driver.propose("kept");
      const name = full.driver.self.id.split("-")[0] as string;
      const fileSystem = fileSystems.get(name) as FaultyFileSystem;
      fileSystem.fault = { kind, code: "ENOSPC" };
      const startedAt = performance.now();
      const error = await failureOf(full.driver.propose("unknown"));
      expect(error).to.be.instanceOf(fleet.OutcomeUnknown);
      expect(performance.now() - startedAt).to.be.below(HAND_OVER_MS);
      const others = replicas.filter((replica) => replica !== full);
      const next = await wait.waitFor(
        "another leader",
        () => others.find(({ driver }) => driver.hasLease()),
      );
      await next.driver.propose("after");
      expect(full.machine.commands).to.deep.equal(["kept"]);
      fileSystem.fault = { kind: "none" };
      await wait.waitFor(
        "the same commands on every replica",
        () =>
          replicas.every(({ machine }) =>
            machine.commands.includes("after") &&
            machine.commands.join() === next.machine.commands.join()
          ),
      );
      expect(full.failure).to.equal(null);
      await proposeMany(next, 1, 20);
      await wait.waitFor(
        "all commands on every replica",
        () =>
          replicas.every(({ machine }) =>
            machine.commands.includes("command 20")
          ),
      );
    });
  }

  it("goes on without a snapshot, and saves one later, when there is no space for it", async () => {
    await openGroup(1, { snapshotEntries: 10 });
    const replica = await leader();
    const [fileSystem] = fileSystems.values();
    if (fileSystem === undefined) throw new Error("no file system");
    fileSystem.fault = { kind: "create", code: "ENOSPC" };
    const startedAt = performance.now();
    for (let number = 0; number < 100; number += 1) {
      await replica.driver.propose(`command ${number}`);
    }
    const seconds = (performance.now() - startedAt) / 1_000;
    expect(fileSystem.failedCreations).to.be.within(1, Math.ceil(seconds));
    fileSystem.fault = { kind: "none" };
    await wait.waitFor("a snapshot", async () => {
      const names = await fs.readdir(path.join(folder, "c0"));
      return names.some((name) => name.startsWith("snapshot-"));
    });
    expect(replica.failure).to.equal(null);
  });

  it("stops while its disk is full", async () => {
    await openGroup(1);
    const replica = await leader();
    const [fileSystem] = fileSystems.values();
    if (fileSystem === undefined) throw new Error("no file system");
    fileSystem.fault = { kind: "write", code: "ENOSPC" };
    const error = failureOf(replica.driver.propose("unknown"));
    await replica[Symbol.asyncDispose]();
    replicas = [];
    expect(await error).to.be.instanceOf(fleet.OutcomeUnknown);
    expect(replica.failure).to.equal(null);
  });

  it("replaces a voter by a replica that catches up from a snapshot", async () => {
    await openGroup(3, { snapshotEntries: 50 });
    const first = await leader();
    for (let from = 0; from < 300; from += 50) {
      await proposeMany(first, from, 50);
    }
    const stopped = replicas.find((replica) =>
      replica !== first
    ) as TestReplica;
    replicas = replicas.filter((replica) => replica !== stopped);
    await stopped[Symbol.asyncDispose]();
    const added = await open("c9");
    const { id } = added.driver.self;
    const member = added.driver.self;
    await first.driver.changeMembership({ kind: "addLearner", member });
    await wait.waitFor(
      "the learner to become a voter",
      () => first.driver.changeMembership({ kind: "promote", id }),
    );
    const removed = stopped.driver.self.id;
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

describe("bootstrap", () => {
  const self = { id: "a-1", address: "a" };
  const other = { id: "b-1", address: "b" };
  const empty = (member: typeof self) => ({
    member,
    empty: true,
    formation: null,
  });
  const existingMember = { member: other, empty: false, formation: null };
  const membership = { voters: [self, other], learners: [] };
  const cases = [
    {
      name: "bootstraps when all stores are empty",
      answers: [empty(other), empty(self)],
      expected: "form",
    },
    {
      name: "waits for a voter that does not respond",
      answers: [empty(self), null],
      expected: "wait",
    },
    {
      name: "waits to be added to an existing group",
      answers: [empty(self), existingMember],
      expected: "wait",
    },
    {
      name: "adopts a membership that contains it",
      answers: [empty(self), { ...existingMember, formation: membership }],
      expected: "form",
    },
    {
      name: "waits when the group contains its previous identity",
      answers: [empty({ id: "a-2", address: "a" }), {
        ...existingMember,
        formation: membership,
      }],
      expected: "wait",
      as: { id: "a-2", address: "a" },
    },
  ];
  for (const { name, answers, expected, as } of cases) {
    it(name, () => {
      const decision = replication.decideBootstrap(as ?? self, answers);
      expect(decision.kind).to.equal(expected);
      if (decision.kind === "form") {
        expect(decision.membership).to.deep.equal(membership);
      }
    });
  }
});
