import { launcher } from "@ebonypath/testing";
import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as storage from "../../src/storage/mod.ts";

/** Number of processes that try to lock one folder at the same time. */
const PROCESS_COUNT = 12;
const HOLDER_PROGRAM = path.resolve(import.meta.dirname, "folder_holder.js");

describe("folder lock", () => {
  let parent: string;
  let folder: string;

  beforeEach(async () => {
    parent = await fs.mkdtemp(path.join(os.tmpdir(), "lock-"));
    folder = path.join(parent, "data");
  });

  afterEach(() => fs.rm(parent, { recursive: true }));

  async function failureOf(promise: Promise<unknown>): Promise<Error> {
    return await promise.then(
      () => expect.fail("the folder was locked again"),
      (error) => error,
    );
  }

  it("reports the folder and its holder to a second locker", async () => {
    await using _lock = await storage.lockFolder(folder);
    const error = await failureOf(storage.lockFolder(folder));
    expect(error).to.be.instanceOf(storage.FolderInUse);
    expect(error.message).to.contain(folder);
    expect(error.message).to.contain(`process ${process.pid}`);
  });

  it("detects a locked folder under another path", async () => {
    await using _lock = await storage.lockFolder(folder);
    const other = path.join(parent, "other");
    await fs.symlink(folder, other);
    const error = await failureOf(storage.lockFolder(other));
    expect(error).to.be.instanceOf(storage.FolderInUse);
  });

  it("is taken when the file that names its holder can't be written", async () => {
    await fs.mkdir(path.join(folder, "holder"), { recursive: true });
    await using lock = await storage.lockFolder(folder);
    const error = await failureOf(storage.lockFolder(lock.folder));
    expect(error).to.be.instanceOf(storage.FolderInUse);
  });

  it("can be taken again after its disposal", async () => {
    for (let round = 0; round < 2; round += 1) {
      await using lock = await storage.lockFolder(folder);
      expect(lock.folder).to.equal(folder);
    }
  });

  it("does not report a holder that is not running", async () => {
    await using _lock = await storage.lockFolder(folder);
    const launched = launcher.launch(HOLDER_PROGRAM, [
      path.join(parent, "else"),
    ]);
    await launched.kill9();
    await fs.writeFile(path.join(folder, "holder"), `${launched.pid}\n`);
    const { message } = await failureOf(storage.lockFolder(folder));
    expect(message).to.contain("another process");
  });

  it("is taken by only one of many processes, and released when that one is killed", async () => {
    const processes = Array.from(
      { length: PROCESS_COUNT },
      () => launcher.launch(HOLDER_PROGRAM, [folder]),
    );
    try {
      const outputs = await Promise.all(
        processes.map((child) =>
          child.waitForLine(/^(held|FolderInUse)/, 20_000)
        ),
      );
      const holders = processes.filter((_, index) => outputs[index] === "held");
      expect(holders).to.have.length(1);
      await holders[0]?.kill9();
      await using lock = await storage.lockFolder(folder);
      expect(lock.folder).to.equal(folder);
    } finally {
      await Promise.all(processes.map((child) => child.kill9()));
    }
  });
});
