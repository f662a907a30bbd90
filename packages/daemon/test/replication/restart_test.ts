import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import { freePort, TestReplica } from "./test_replica.ts";

const COMMANDS = 10_000;
const MAX_RESTART_MS = 1_000;
const COMMAND_LENGTH = 300;

describe("restart of a replica", function () {
  this.timeout(60_000);
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "restart-"));
  });
  afterEach(() => fs.rm(folder, { recursive: true, force: true }));

  const cases = [
    { name: "from the log alone", snapshotEntries: 10 * COMMANDS },
    { name: "from a snapshot and the log", snapshotEntries: 1_000 },
  ];
  for (const { name, snapshotEntries } of cases) {
    it(`takes under ${MAX_RESTART_MS} ms after ${COMMANDS} commands ${name}`, async () => {
      const port = await freePort();
      const options = { folder, name: "c0", port, snapshotEntries };
      const data = "x".repeat(COMMAND_LENGTH);
      {
        await using replica = await TestReplica.open(options);
        await replica.bootstrap([replica]);
        await wait.waitFor("a leader", () => replica.driver.hasLease());
        for (let proposed = 0; proposed < COMMANDS; proposed += 500) {
          const batch = Array.from(
            { length: 500 },
            () => replica.driver.propose(data),
          );
          await Promise.all(batch);
        }
      }
      const start = performance.now();
      await using replica = await TestReplica.open(options);
      await wait.waitFor(
        "all commands to be applied",
        () =>
          replica.machine.commands.length === COMMANDS &&
          replica.driver.hasLease(),
      );
      const elapsedMs = performance.now() - start;
      expect(elapsedMs).to.be.below(MAX_RESTART_MS);
    });
  }
});
