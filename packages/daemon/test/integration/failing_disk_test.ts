import type { operators } from "@ebonypath/protocol";
import { type launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as scenarios from "./scenario.ts";

const PRELOAD = new URL("./failing_disk.js", import.meta.url);
/** Longest wait for changes to go on at another leader, in milliseconds. */
const GOING_ON_MS = 15_000;
/** Changes that are acknowledged before the disk fails. */
const BEFORE = 5;

describe("a leader whose disk fails while changes run", () => {
  let scenario: scenarios.Scenario;
  let fleet: launcher.Fleet;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 5,
      voters: 3,
      plains: [{}],
      env: { NODE_OPTIONS: `--import=${PRELOAD.href}` },
    });
    fleet = scenario.fleet;
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  async function keysAt(host: launcher.FleetHost): Promise<string[]> {
    const { keys } = await host.operator.call<operators.Keys>(
      "GET",
      "/v1/keys",
    );
    return keys.map(({ id }) => id);
  }

  const CASES = [
    { title: "goes on running, and loses", code: "ENOSPC", ends: false },
    { title: "ends, and loses", code: "EIO", ends: true },
  ];
  for (const { title, code, ends } of CASES) {
    it(`${title} nothing acknowledged, when the disk fails with ${code}`, async () => {
      const witness = fleet.host(4);
      const leader = await scenario.leader();
      const acknowledged: string[] = [];
      let isEnding = false;
      const granting = (async () => {
        while (!isEnding) {
          await witness.operator.grantKey("web-shop").then(
            ({ id }) => acknowledged.push(id),
            () => undefined,
          );
        }
      })();
      await wait.waitFor("changes", () => acknowledged.length >= BEFORE);
      const switchFile = `${leader.options.settingsFile}.fault`;
      await fs.writeFile(switchFile, code);
      try {
        if (ends) {
          const { code: exitCode } = await leader.process.waitForExit();
          expect(exitCode).to.equal(1);
        }
        await leader.process.waitForLine(
          ends
            ? new RegExp(`part=replication event=failed error=.*${code}`)
            : new RegExp(`part=storage event=disk-full .*${code}`),
        );
        const before = acknowledged.length;
        await wait.waitFor(
          "changes at another leader",
          () => acknowledged.length >= before + BEFORE,
          { timeoutMs: GOING_ON_MS },
        );
      } finally {
        isEnding = true;
        await granting;
        await fs.rm(switchFile);
      }
      expect(await keysAt(witness)).to.include.members(acknowledged);
      if (ends) await leader.restart();
      else expect(leader.isRunning).to.equal(true);
      await scenario.waitUntilInForce((await witness.operator.status()).index);
      expect(await keysAt(leader)).to.include.members(acknowledged);
    });
  }
});
