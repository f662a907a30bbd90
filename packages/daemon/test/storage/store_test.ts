import { Buffer } from "node:buffer";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import * as storage from "../../src/storage/mod.ts";
import { type Fault, FaultyFileSystem } from "./faulty_file_system.ts";

const MEMBERSHIP = { voters: [{ id: "a", address: "a:1" }], learners: [] };

function entry(index: number, term = 1) {
  const data = `command ${index}`;
  return { index, term, payload: { kind: "command" as const, data } };
}

function entries(from: number, to: number) {
  return Array.from({ length: to - from + 1 }, (_, i) => entry(from + i));
}

function snapshotAt(index: number, term: number, keepEntries: boolean) {
  const data = Buffer.from(`state at ${index}`);
  const metadata = { index, term, membership: MEMBERSHIP, bytes: data.length };
  return { metadata, data, keepEntries };
}

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
  try {
    await promise;
  } catch (error) {
    return error;
  }
  throw new Error("the operation did not fail");
}

describe("store", () => {
  let folder: string;
  const open = (options: Partial<storage.StoreOptions> = {}) =>
    storage.openStore(folder, { name: "c1", ...options });
  const logFile = async () => {
    const names = (await fs.readdir(folder)).sort();
    return path.join(folder, names.findLast((n) => n.endsWith(".wal")) ?? "");
  };

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "store-"));
  });
  afterEach(() => fs.rm(folder, { recursive: true, force: true }));

  it("recovers the persisted state and the same identity", async () => {
    const first = await open();
    expect(first.recovered.empty).to.equal(true);
    await first.persist({ hardState: { term: 1, vote: "a" } });
    await first.persist({ entries: entries(1, 5) });
    await first.persist({ truncateFrom: 4, entries: [entry(4, 2)] });
    await first[Symbol.asyncDispose]();
    await using second = await open();
    const { identity, hardState, entries: found, empty } = second.recovered;
    expect(identity).to.deep.equal(first.recovered.identity);
    expect(empty).to.equal(false);
    expect(hardState).to.deep.equal({ term: 1, vote: "a" });
    expect(found).to.deep.equal([...entries(1, 3), entry(4, 2)]);
  });

  it("creates a new identity in a wiped folder", async () => {
    const first = await open();
    await first[Symbol.asyncDispose]();
    await fs.rm(folder, { recursive: true });
    await using second = await open();
    expect(second.recovered.identity.id)
      .not.to.equal(first.recovered.identity.id);
  });

  const missing = [
    { file: "identity.bin", reason: "the identity of this log is missing" },
    { file: ".wal", reason: "the log of this identity is missing" },
    { file: "snapshot-2.bin", reason: "the snapshot at 2 is missing" },
  ];
  for (const { file, reason } of missing) {
    it(`does not open without ${file}`, async () => {
      const store = await open();
      await store.persist({ entries: entries(1, 3) });
      await store.saveSnapshot(snapshotAt(2, 1, true));
      await store[Symbol.asyncDispose]();
      for (const name of await fs.readdir(folder)) {
        if (name.endsWith(file)) {
          await fs.rm(path.join(folder, name));
        }
      }
      const error = await failureOf(open());
      expect(error).to.be.instanceOf(storage.DamageError);
      expect(String(error)).to.contain(reason);
    });
  }

  it("truncates a torn final frame of any length", async () => {
    const store = await open();
    await store.persist({ entries: entries(1, 2) });
    const file = await logFile();
    const before = (await fs.stat(file)).size;
    await store.persist({ entries: [entry(3)] });
    await store[Symbol.asyncDispose]();
    const content = await fs.readFile(file);
    for (let length = before; length < content.length; length += 1) {
      await fs.writeFile(file, content.subarray(0, length));
      await using reopened = await open();
      expect(reopened.recovered.entries).to.deep.equal(entries(1, 2));
    }
    await using again = await open();
    await again.persist({ entries: [entry(3)] });
    expect((await fs.stat(file)).size).to.equal(content.length);
  });

  it("rejects a flipped bit before the final frame and reports its offset", async () => {
    const store = await open();
    await store.persist({ entries: entries(1, 2) });
    const file = await logFile();
    const start = (await fs.stat(file)).size;
    await store.persist({ entries: [entry(3)] });
    const end = (await fs.stat(file)).size;
    await store.persist({ entries: [entry(4)] });
    await store[Symbol.asyncDispose]();
    const content = await fs.readFile(file);
    for (let position = start; position < end; position += 1) {
      const damaged = Buffer.from(content);
      damaged.writeUInt8(content.readUInt8(position) ^ 0x10, position);
      await fs.writeFile(file, damaged);
      const error = await failureOf(open()) as storage.DamageError;
      expect(error).to.be.instanceOf(storage.DamageError);
      expect([error.file, error.offset]).to.deep.equal([file, start]);
    }
  });

  it("rejects a flipped bit in a snapshot", async () => {
    const store = await open();
    await store.persist({ entries: entries(1, 3) });
    await store.saveSnapshot(snapshotAt(2, 1, true));
    await store[Symbol.asyncDispose]();
    const file = path.join(folder, "snapshot-2.bin");
    const content = await fs.readFile(file);
    content.writeUInt8(
      content.readUInt8(content.length - 1) ^ 1,
      content.length - 1,
    );
    await fs.writeFile(file, content);
    const error = await failureOf(open()) as storage.DamageError;
    expect(error.file).to.equal(file);
  });

  const faults: { fault: Fault; snapshot: boolean }[] = [
    { fault: { kind: "write", code: "EIO" }, snapshot: false },
    { fault: { kind: "shortWrite" }, snapshot: false },
    { fault: { kind: "sync", code: "EIO" }, snapshot: false },
    { fault: { kind: "write", code: "EIO" }, snapshot: true },
    { fault: { kind: "sync", code: "EIO" }, snapshot: true },
    { fault: { kind: "rename", code: "EIO" }, snapshot: true },
    { fault: { kind: "syncFolder", code: "EIO" }, snapshot: true },
  ];
  for (const { fault, snapshot } of faults) {
    const operation = snapshot ? "snapshot" : "change";
    it(`rejects all operations after a failed ${fault.kind} of a ${operation}`, async () => {
      const fileSystem = new FaultyFileSystem();
      const store = await open({ fileSystem });
      await store.persist({ entries: entries(1, 2) });
      fileSystem.fault = fault;
      const waiting = [
        snapshot
          ? store.saveSnapshot(snapshotAt(2, 1, true))
          : store.persist({ entries: [entry(3)] }),
        store.persist({ hardState: { term: 9, vote: null } }),
      ];
      const [result] = await Promise.allSettled(waiting);
      const first = result?.status === "rejected" ? result.reason : null;
      expect(first).to.be.instanceOf(storage.StorageError);
      fileSystem.fault = { kind: "none" };
      const laterOperations = [
        store.persist({ hardState: { term: 10, vote: null } }),
        store.saveSnapshot(snapshotAt(1, 1, true)),
        store.readSnapshotPart(1, 0, 1),
      ];
      for (const rejected of laterOperations) {
        expect(await failureOf(rejected)).to.equal(first);
      }
      await store[Symbol.asyncDispose]();
      await fileSystem.losePower(await logFile());
      await using again = await open();
      const { entries: kept, snapshot: saved } = again.recovered;
      const all = [...entries(1, saved?.metadata.index ?? 0), ...kept];
      expect(all).to.deep.equal(entries(1, 2));
      expect(again.recovered.hardState.term).not.to.equal(10);
    });
  }

  it("persists concurrent updates with at most two syncs", async () => {
    const fileSystem = new FaultyFileSystem();
    await using store = await open({ fileSystem });
    const before = fileSystem.syncs;
    await Promise.all(
      entries(1, 100).map((item) => store.persist({ entries: [item] })),
    );
    expect(fileSystem.syncs - before).to.be.at.most(2);
  });

  it("continues the log in new segments", async () => {
    const store = await open({ segmentBytes: 200 });
    for (const item of entries(1, 20)) {
      await store.persist({ entries: [item] });
    }
    await store[Symbol.asyncDispose]();
    await using again = await open();
    expect(again.recovered.entries).to.deep.equal(entries(1, 20));
    await again.saveSnapshot(snapshotAt(18, 1, true));
    const names = await fs.readdir(folder);
    expect(names.filter((name) => name.endsWith(".wal"))).to.have.length(1);
  });

  it("reads parts of a snapshot", async () => {
    await using store = await open();
    await store.persist({ entries: entries(1, 3) });
    await store.saveSnapshot(snapshotAt(2, 1, true));
    const part = await store.readSnapshotPart(2, 6, 100);
    expect(part?.toString()).to.equal("at 2");
    expect(await store.readSnapshotPart(1, 0, 10)).to.equal(null);
  });

  const crashes = [
    { name: "of the same log", term: 1, kept: [entry(3)] },
    { name: "of another log", term: 2, kept: [] },
  ];
  for (const { name, term, kept } of crashes) {
    it(`recovers from a crash after saving a snapshot ${name}`, async () => {
      const store = await open();
      await store.persist({ entries: entries(1, 3) });
      const file = await logFile();
      const log = await fs.readFile(file);
      await store.saveSnapshot(snapshotAt(2, term, false));
      await store[Symbol.asyncDispose]();
      await fs.rm(await logFile());
      await fs.writeFile(file, log);
      await using again = await open();
      expect(again.recovered.snapshot?.metadata.index).to.equal(2);
      expect(again.recovered.entries).to.deep.equal(kept);
    });
  }
});
