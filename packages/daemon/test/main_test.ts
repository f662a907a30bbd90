import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";

const MAIN = path.resolve(import.meta.dirname, "../src/main.js");
const EXAMPLE = path.resolve(
  import.meta.dirname,
  "../../../../examples/settings/one_host.toml",
);
const SECRETS = ["fleet", "join", "admin"];

interface Case {
  readonly title: string;
  readonly argv: readonly string[];
  readonly from?: string;
  readonly to?: string;
  /** File mode of the secrets. */
  readonly mode?: number;
  readonly exitCode: number;
  readonly output: RegExp;
}

const CHECK = ["--settings", "host.toml", "--check"];
const CASES: readonly Case[] = [
  {
    title: "valid settings",
    argv: CHECK,
    exitCode: 0,
    output: /host\.toml: valid/,
  },
  {
    title: "no settings file",
    argv: [],
    exitCode: 2,
    output: /name a settings file/,
  },
  {
    title: "a missing settings file",
    argv: ["--settings", "none.toml"],
    exitCode: 2,
    output: /none\.toml: file: can't be read: ENOENT \(.+\)/,
  },
  {
    title: "an unknown key",
    argv: CHECK,
    from: "data_folder",
    to: "data_dir",
    exitCode: 2,
    output: /host\.toml: host\.data_dir: is not a known key \(.+\)/,
  },
  {
    title: "an unknown key without --check",
    argv: CHECK.slice(0, 2),
    from: "data_folder",
    to: "data_dir",
    exitCode: 2,
    output: /host\.data_dir/,
  },
  {
    title: "broken TOML",
    argv: CHECK,
    from: "[listen]",
    to: "[listen",
    exitCode: 2,
    output: /host\.toml: line \d+, column \d+: /,
  },
  {
    title: "a secret open to others",
    argv: CHECK,
    mode: 0o640,
    exitCode: 2,
    output: /secrets\.fleet_file: .*open to group or others \(chmod 600 /,
  },
];

describe("ebonypathd", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
  });

  afterEach(() => fs.rm(folder, { recursive: true }));

  for (
    const { title, argv, from = "", to = "", mode = 0o600, exitCode, output }
      of CASES
  ) {
    it(`exits with ${exitCode} on ${title}`, async () => {
      const text = (await fs.readFile(EXAMPLE, "utf8")).replace(from, to);
      await fs.writeFile(path.join(folder, "host.toml"), text);
      for (const name of SECRETS) {
        const file = path.join(folder, `${name}.secret`);
        await fs.writeFile(file, `${name}-0123456789abcdef`);
        await fs.chmod(file, mode);
      }
      const args = argv.map((text) =>
        text.endsWith(".toml") ? path.join(folder, text) : text
      );
      await using daemon = testing.launcher.launch(MAIN, args);
      expect((await daemon.waitForExit()).code, daemon.tail).to.equal(exitCode);
      expect(daemon.lines.join("\n")).to.match(output);
      expect(daemon.lines.join("\n")).to.not.contain("0123456789abcdef");
    });
  }
});
