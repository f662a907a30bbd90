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
  /** Permissions of the secrets. */
  readonly mode?: number;
  readonly code: number;
  readonly says: RegExp;
}

const CHECK = ["--settings", "host.toml", "--check"];
const CASES: readonly Case[] = [
  { title: "sound settings", argv: CHECK, code: 0, says: /host\.toml: valid/ },
  {
    title: "no settings file",
    argv: [],
    code: 2,
    says: /name a settings file/,
  },
  {
    title: "a missing settings file",
    argv: ["--settings", "none.toml"],
    code: 2,
    says: /none\.toml: file: can't be read: ENOENT \(.+\)/,
  },
  {
    title: "a misspelt key",
    argv: CHECK,
    from: "data_folder",
    to: "data_dir",
    code: 2,
    says: /host\.toml: host\.data_dir: is not a known key \(.+\)/,
  },
  {
    title: "a misspelt key without --check",
    argv: CHECK.slice(0, 2),
    from: "data_folder",
    to: "data_dir",
    code: 2,
    says: /host\.data_dir/,
  },
  {
    title: "broken TOML",
    argv: CHECK,
    from: "[listen]",
    to: "[listen",
    code: 2,
    says: /host\.toml: line \d+, column \d+: /,
  },
  {
    title: "a secret open to others",
    argv: CHECK,
    mode: 0o640,
    code: 2,
    says: /secrets\.fleet_file: .*open to group or others \(chmod 600 /,
  },
];

describe("ebonypathd", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
  });

  afterEach(() => fs.rm(folder, { recursive: true }));

  for (
    const { title, argv, from = "", to = "", mode = 0o600, code, says } of CASES
  ) {
    it(`ends with ${code} on ${title}`, async () => {
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
      expect((await daemon.waitForExit()).code, daemon.tail).to.equal(code);
      expect(daemon.lines.join("\n")).to.match(says);
      expect(daemon.lines.join("\n")).to.not.contain("0123456789abcdef");
    });
  }
});
