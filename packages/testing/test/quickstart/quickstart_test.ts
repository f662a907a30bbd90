import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import * as launcher from "../../src/launcher/mod.ts";

const MAIN = path.resolve(
  import.meta.dirname,
  "../../src/quickstart/main.js",
);

describe("quickstart", () => {
  let parent: string;

  beforeEach(async () => {
    parent = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
  });

  afterEach(() => fs.rm(parent, { recursive: true }));

  it("shows the whole path and ends by itself with --once", async () => {
    const folder = `--folder=${parent}/once`;
    await using run = launcher.launch(MAIN, ["--once", folder]);
    const { code } = await run.waitForExit(25_000);
    expect(code, run.tail).to.equal(0);
    const text = run.lines.join("\n");
    expect(text).to.match(/published version \d+\n +in force on 1 of 1 hosts/);
    expect(text).to.contain("whole: the terminal event came");
    expect(text).to.match(/200 echo:Plan the spring restock/);
    expect(text).to.contain("repeat: 200, the same answer");
    expect(text).to.contain("times it ran at the plain service: 1");
  });

  it("ends with 0 when it is interrupted", async () => {
    const folder = `--folder=${parent}/interrupted`;
    await using run = launcher.launch(MAIN, [folder]);
    await run.waitForLine(/Publish the service files/, 25_000);
    run.signal("SIGINT");
    expect((await run.waitForExit()).code, run.tail).to.equal(0);
  });

  it("refuses unknown options", async () => {
    await using run = launcher.launch(MAIN, ["--onse"]);
    expect((await run.waitForExit()).code).to.equal(2);
  });
});
