import { launcher } from "@ebonypath/testing";
import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as storage from "../../src/storage/mod.ts";

/** Processes that start on one folder at the same moment. */
const RACERS = 12;
const HOLDER = path.resolve(import.meta.dirname, "folder_holder.js");

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

  it("names the folder and its holder to a second one", async () => {
    await using _lock = await storage.lockFolder(folder);
    const error = await failureOf(storage.lockFolder(folder));
    expect(error).to.be.instanceOf(storage.FolderInUse);
    expect(error.message).to.contain(folder);
    expect(error.message).to.contain(`process ${process.pid}`);
  });

  it("knows the folder by another path", async () => {
    await using _lock = await storage.lockFolder(folder);
    const other = path.join(parent, "other");
    await fs.symlink(folder, other);
    const error = await failureOf(storage.lockFolder(other));
    expect(error).to.be.instanceOf(storage.FolderInUse);
  });

  it("is free after its disposal", async () => {
    for (let round = 0; round < 2; round += 1) {
      await using lock = await storage.lockFolder(folder);
      expect(lock.folder).to.equal(folder);
    }
  });

  it("does not name a holder that is gone", async () => {
    await using _lock = await storage.lockFolder(folder);
    const launched = launcher.launch(HOLDER, [path.join(parent, "else")]);
    await launched.kill9();
    await fs.writeFile(path.join(folder, "holder"), `${launched.pid}\n`);
    const { message } = await failureOf(storage.lockFolder(folder));
    expect(message).to.contain("another process");
  });

  it("is held by one of many processes, and by none when that one is killed", async () => {
    const racers = Array.from(
      { length: RACERS },
      () => launcher.launch(HOLDER, [folder]),
    );
    try {
      const said = await Promise.all(
        racers.map((racer) => racer.waitForLine(/^(held|FolderInUse)/, 20_000)),
      );
      const holders = racers.filter((_, index) => said[index] === "held");
      expect(holders).to.have.length(1);
      await holders[0]?.kill9();
      await using lock = await storage.lockFolder(folder);
      expect(lock.folder).to.equal(folder);
    } finally {
      await Promise.all(racers.map((racer) => racer.kill9()));
    }
  });
});
