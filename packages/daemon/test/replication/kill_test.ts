import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { wait } from "@ebonypath/testing";
import { ProcessGroup } from "./process_group.ts";

describe("replicas in processes", function () {
  this.timeout(60_000);
  let folder: string;
  let group: ProcessGroup;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "kill-"));
    group = await ProcessGroup.prepare(folder, 3);
  });
  afterEach(async () => {
    await group[Symbol.asyncDispose]();
    await fs.rm(folder, { recursive: true, force: true });
  });

  it("loses no acknowledged command when all are killed at once", async () => {
    const acknowledged: string[] = [];
    let proposed = 0;
    group.startAll();
    for (let round = 0; round < 3; round += 1) {
      const address = await group.leader();
      const enough = acknowledged.length + 40;
      const callers = Array.from({ length: 8 }, async () => {
        for (;;) {
          proposed += 1;
          const data = `command ${proposed}`;
          await group.call(address, "test.propose", { data });
          acknowledged.push(data);
        }
      });
      const ended = Promise.allSettled(callers);
      await wait.waitFor("40 more", () => acknowledged.length >= enough);
      await group.killAll();
      await ended;
      group.startAll();
    }
    await group.call(await group.leader(), "test.propose", { data: "last" });
    const lists = await wait.waitFor("all to apply the last one", async () => {
      const all = await Promise.all(
        group.addresses.map((address) => group.call(address, "test.commands")),
      ) as string[][];
      return all.every((commands) => commands.at(-1) === "last") ? all : false;
    });
    const [first = [], ...others] = lists;
    others.forEach((commands) => expect(commands).to.deep.equal(first));
    const counts = new Map<string, number>();
    first.forEach((data) => counts.set(data, (counts.get(data) ?? 0) + 1));
    const wrong = acknowledged.filter((data) => counts.get(data) !== 1);
    expect(wrong).to.deep.equal([]);
    expect(acknowledged.length).to.be.at.least(120);
  });
});
