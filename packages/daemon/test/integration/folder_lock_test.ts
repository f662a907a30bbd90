import { launcher } from "@ebonypath/testing";
import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

const DAEMON = fileURLToPath(new URL("../../src/main.js", import.meta.url));

describe("the data folder of a running daemon", () => {
  it("is refused to a second daemon, and free after kill -9", async () => {
    await using fleet = await launcher.startFleet({
      daemonPath: DAEMON,
      hosts: 1,
    });
    const host = fleet.host(0);
    const text = await fs.readFile(host.options.settingsFile, "utf8");
    const settingsFile = path.join(fleet.folder, "second.toml");
    const otherPorts = text.replace(
      /^(callers|backends|operators|fleet) = .*$/gm,
      '$1 = "127.0.0.1:0"',
    );
    await fs.writeFile(settingsFile, otherPorts);
    await using second = launcher.launch(DAEMON, ["--settings", settingsFile]);
    expect((await second.waitForExit()).code, second.tail).to.equal(2);
    const folder = path.join(fleet.folder, "data", host.name);
    const said = second.lines.join("\n");
    expect(said).to.contain(
      `${folder}: it is in use by process ${host.process.pid}`,
    );
    await host.operator.status();
    await host.process.kill9();
    await host.restart();
  });
});
