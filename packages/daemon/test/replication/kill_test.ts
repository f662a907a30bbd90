import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import { ProcessCluster } from "./process_cluster.ts";

describe("replicas in separate processes", function () {
  this.timeout(60_000);
  let folder: string;
  let cluster: ProcessCluster;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "kill-"));
    cluster = await ProcessCluster.prepare(folder, 3);
  });
  afterEach(async () => {
    await cluster[Symbol.asyncDispose]();
    await fs.rm(folder, { recursive: true, force: true });
  });

  it("loses no acknowledged command when all are killed at once", async () => {
    const acknowledged: string[] = [];
    let proposed = 0;
    cluster.startAll();
    for (let round = 0; round < 3; round += 1) {
      const address = await cluster.leader();
      const targetCount = acknowledged.length + 40;
      const callers = Array.from({ length: 8 }, async () => {
        for (;;) {
          proposed += 1;
          const data = `command ${proposed}`;
          await cluster.call(address, "test.propose", { data });
          acknowledged.push(data);
        }
      });
      const callersEnded = Promise.allSettled(callers);
      await wait.waitFor(
        "40 more acknowledged commands",
        () => acknowledged.length >= targetCount,
      );
      await cluster.killAll();
      await callersEnded;
      cluster.startAll();
    }
    await cluster.call(await cluster.leader(), "test.propose", {
      data: "last",
    });
    const lists = await wait.waitFor(
      "all replicas to apply the last command",
      async () => {
        const applied = await Promise.all(
          cluster.addresses.map((address) =>
            cluster.call(address, "test.commands")
          ),
        ) as string[][];
        return applied.every((commands) => commands.at(-1) === "last")
          ? applied
          : false;
      },
    );
    const [first = [], ...others] = lists;
    others.forEach((commands) => expect(commands).to.deep.equal(first));
    const counts = new Map<string, number>();
    first.forEach((data) => counts.set(data, (counts.get(data) ?? 0) + 1));
    const lostOrRepeated = acknowledged.filter((data) =>
      counts.get(data) !== 1
    );
    expect(lostOrRepeated).to.deep.equal([]);
    expect(acknowledged.length).to.be.at.least(120);
  });
});
