import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import { freePort, Host } from "./host.ts";

const CHANGES = 10_000;
const GOAL_MS = 1_000;
const CHANGE_CHARACTERS = 300;

describe("restart of a replica", function () {
  this.timeout(60_000);
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "restart-"));
  });
  afterEach(() => fs.rm(folder, { recursive: true, force: true }));

  const cases = [
    { name: "from the log alone", snapshotEntries: 10 * CHANGES },
    { name: "from a snapshot and the log", snapshotEntries: 1_000 },
  ];
  for (const { name, snapshotEntries } of cases) {
    it(`takes under ${GOAL_MS} ms after ${CHANGES} changes ${name}`, async () => {
      const port = await freePort();
      const options = { folder, name: "c0", port, snapshotEntries };
      const data = "x".repeat(CHANGE_CHARACTERS);
      {
        await using host = await Host.open(options);
        await host.form([host]);
        await wait.waitFor("a leader", () => host.driver.hasLease());
        for (let done = 0; done < CHANGES; done += 500) {
          const batch = Array.from(
            { length: 500 },
            () => host.driver.propose(data),
          );
          await Promise.all(batch);
        }
      }
      const start = performance.now();
      await using host = await Host.open(options);
      await wait.waitFor(
        "all changes",
        () =>
          host.machine.commands.length === CHANGES && host.driver.hasLease(),
      );
      const elapsedMs = performance.now() - start;
      expect(elapsedMs).to.be.below(GOAL_MS);
    });
  }
});
