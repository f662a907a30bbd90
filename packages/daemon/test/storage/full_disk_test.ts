import { Buffer } from "node:buffer";
import { fakeBackend, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as storage from "../../src/storage/mod.ts";
import { type CrashKind, MemoryDisk } from "./memory_disk.ts";

const SEEDS = 60;
const STEPS = 40;
/** Most changes of files that fail in one spell of a full disk. */
const MAX_FAILURES = 6;
const FILL_SHARE = 0.15;
const SNAPSHOT_SHARE = 0.15;
const INSTALL_SHARE = 0.03;
const TRUNCATE_SHARE = 0.15;
const HARD_STATE_SHARE = 0.3;
const WAIT_SHARE = 0.5;
/** Share of the changes of files after which a crash is tried. */
const CRASH_SHARE = 0.04;
/** Small, so that segments end often. */
const SEGMENT_BYTES = 600;
const MEMBERSHIP = { voters: [{ id: "a", address: "a:1" }], learners: [] };

type LogState = {
  hardState: { term: number; vote: string | null };
  terms: (number | null)[];
};
type Crash = {
  kind: CrashKind;
  disk: MemoryDisk;
  acknowledged: number;
  requested: number;
};

function entryOf(index: number, term: number) {
  const data = `command ${index} of ${term}`;
  return { index, term, payload: { kind: "command" as const, data } };
}

/** A store under random updates, and the states that it may recover. */
class Trial {
  readonly crashes: Crash[] = [];
  readonly disk: MemoryDisk;
  #random: () => number;
  /** State before the first update and after each one. */
  #states: LogState[] = [{ hardState: { term: 0, vote: null }, terms: [] }];
  #acknowledged = 0;
  #snapshotIndex = 0;
  #pending: Promise<void>[] = [];

  constructor(seed: number) {
    this.#random = fakeBackend.seededRandom(seed);
    this.disk = new MemoryDisk(this.#random);
  }

  async run(): Promise<void> {
    await using store = await this.open(this.disk);
    this.disk.onChange = () => this.#tryCrash();
    for (let step = 0; step < STEPS; step += 1) {
      if (this.#random() < FILL_SHARE) {
        this.disk.fill(1 + Math.floor(this.#random() * MAX_FAILURES));
      }
      this.#request(store);
      if (this.#random() < WAIT_SHARE) await Promise.all(this.#pending);
    }
    await Promise.all(this.#pending);
    this.disk.onChange = () => {};
  }

  open(fileSystem: MemoryDisk): Promise<storage.Store> {
    const options = { name: "c1", segmentBytes: SEGMENT_BYTES, fileSystem };
    return storage.openStore("/store", options);
  }

  /** Whether what a store recovered is the state at a crash. */
  explains(crash: Crash, recovered: storage.RecoveredState): boolean {
    const { hardState, entries, snapshot } = recovered;
    const base = snapshot?.metadata.index ?? 0;
    const tail = JSON.stringify([hardState, base + entries.length, entries]);
    const candidates = this.#states.slice(
      crash.acknowledged,
      crash.requested + 1,
    );
    return candidates.some(({ hardState, terms }) => {
      const kept = terms.slice(base).map((term, position) =>
        entryOf(base + position + 1, term ?? 0)
      );
      return JSON.stringify([hardState, terms.length, kept]) === tail;
    });
  }

  #tryCrash(): void {
    if (this.#random() >= CRASH_SHARE) return;
    const kind = this.#random() < 0.5 ? "process" : "power";
    this.crashes.push({
      kind,
      disk: this.disk.crash(kind),
      acknowledged: this.#acknowledged,
      requested: this.#states.length - 1,
    });
  }

  #request(store: storage.Store): void {
    const share = this.#random();
    if (share < INSTALL_SHARE) {
      this.#install(store);
    } else if (share < INSTALL_SHARE + SNAPSHOT_SHARE) {
      this.#compact(store);
    } else {
      this.#update(store);
    }
  }

  #update(store: storage.Store): void {
    const { hardState, terms } = this.#states.at(-1) as LogState;
    const last = terms.length;
    const canTruncate = last > this.#snapshotIndex &&
      this.#random() < TRUNCATE_SHARE;
    const truncateFrom = canTruncate
      ? this.#snapshotIndex + 1 +
        Math.floor(this.#random() * (last - this.#snapshotIndex))
      : null;
    const newHardState = canTruncate || this.#random() < HARD_STATE_SHARE
      ? { term: hardState.term + 1, vote: "a" }
      : null;
    const term = (newHardState ?? hardState).term;
    const start = truncateFrom ?? last + 1;
    const count = Math.floor(this.#random() * 4);
    const entries = Array.from(
      { length: count },
      (_, position) => entryOf(start + position, term),
    );
    this.#add(
      {
        hardState: newHardState ?? hardState,
        terms: [...terms.slice(0, start - 1), ...entries.map(() => term)],
      },
      store.persist({ hardState: newHardState, truncateFrom, entries }),
    );
  }

  /** Saves a snapshot of the log, which a full disk may prevent. */
  #compact(store: storage.Store): void {
    const { terms } = this.#states[this.#acknowledged] as LogState;
    const { terms: newest } = this.#states.at(-1) as LogState;
    const index = Math.min(terms.length, newest.length);
    const term = newest[index - 1];
    if (index <= this.#snapshotIndex || typeof term !== "number") return;
    this.#snapshotIndex = index;
    const saved = store.saveSnapshot(snapshotAt(index, term, true));
    this.#pending.push(saved.catch((error) => {
      if (!(error instanceof storage.NoSpaceError)) throw error;
    }));
  }

  /** Saves a snapshot of another log. */
  #install(store: storage.Store): void {
    const { hardState, terms } = this.#states.at(-1) as LogState;
    const index = terms.length + 5;
    this.#snapshotIndex = index;
    this.#add(
      { hardState, terms: Array.from({ length: index }, () => null) },
      store.saveSnapshot(snapshotAt(index, hardState.term, false)),
    );
  }

  #add(state: LogState, stored: Promise<void>): void {
    this.#states.push(state);
    const number = this.#states.length - 1;
    this.#pending.push(stored.then(() => {
      expect(this.#acknowledged, "order").to.equal(number - 1);
      this.#acknowledged = number;
    }));
  }
}

function snapshotAt(index: number, term: number, keepEntries: boolean) {
  const data = Buffer.from(`state at ${index}`);
  const metadata = { index, term, membership: MEMBERSHIP, bytes: data.length };
  return { metadata, data, keepEntries };
}

async function check(seed: number): Promise<number> {
  const trial = new Trial(seed);
  await trial.run();
  expect(trial.disk.names.filter((name) => name.endsWith(".tmp")))
    .to.deep.equal([]);
  for (const [number, crash] of trial.crashes.entries()) {
    const where = `seed ${seed}, crash ${number} of the ${crash.kind}`;
    try {
      await using again = await trial.open(crash.disk);
      expect(trial.explains(crash, again.recovered), where).to.equal(true);
      await using last = await trial.open(crash.disk.crash("power"));
      expect(last.recovered, where).to.deep.equal(again.recovered);
    } catch (error) {
      throw new Error(where, { cause: error });
    }
  }
  return trial.crashes.length;
}

describe("a store whose disk is full for a while", () => {
  it("loses nothing acknowledged when it crashes at any time", async () => {
    const seeds = Array.from({ length: SEEDS }, (_, seed) => seed + 1);
    const crashes = await Promise.all(seeds.map(check));
    expect(crashes.reduce((sum, count) => sum + count)).to.be.above(SEEDS);
  });

  for (const failures of [0, 1]) {
    it(`keeps what it has recovered from a killed process when the power is lost, after ${failures} failed syncs`, async () => {
      const open = (fileSystem: MemoryDisk) =>
        storage.openStore("/store", { name: "c1", fileSystem });
      const disk = new MemoryDisk(fakeBackend.seededRandom(1));
      await using store = await open(disk);
      let killed: MemoryDisk | undefined;
      disk.onSync = () => killed ??= disk.crash("process");
      await store.persist({ hardState: { term: 1, vote: null } });
      if (killed === undefined) throw new Error("nothing was synced");
      killed.fill(failures);
      await using again = await open(killed);
      expect(again.recovered.hardState.term).to.equal(1);
      await using last = await open(killed.crash("power"));
      expect(last.recovered.hardState.term).to.equal(1);
    });
  }

  it("opens once there is space", async () => {
    const disk = new MemoryDisk(fakeBackend.seededRandom(1));
    disk.fill(5);
    const options = { name: "c1", fileSystem: disk };
    const store = await storage.openStore("/store", options);
    await store[Symbol.asyncDispose]();
    await using again = await storage.openStore("/store", options);
    expect(again.recovered.identity).to.deep.equal(store.recovered.identity);
  });

  it("reports when it is full and when it has space", async () => {
    const disk = new MemoryDisk(fakeBackend.seededRandom(1));
    const options = { name: "c1", fileSystem: disk };
    await using store = await storage.openStore("/store", options);
    const changes: boolean[] = [];
    store.onSpaceChange((hasSpace) => changes.push(hasSpace));
    disk.fill(3);
    await store.persist({ hardState: { term: 1, vote: null } });
    expect(changes).to.deep.equal([false, true]);
    expect(store.hasSpace).to.equal(true);
  });

  it("can be closed while it waits for space", async () => {
    const disk = new MemoryDisk(fakeBackend.seededRandom(1));
    const options = { name: "c1", fileSystem: disk };
    const store = await storage.openStore("/store", options);
    disk.fill(Infinity);
    const stored = store.persist({ hardState: { term: 1, vote: null } })
      .catch((error: unknown) => error);
    await wait.waitFor("a full disk", () => !store.hasSpace);
    await store[Symbol.asyncDispose]();
    expect(await stored).to.be.instanceOf(storage.StorageError);
  });
});
