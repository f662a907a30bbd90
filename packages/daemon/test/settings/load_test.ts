import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as protocol from "@ebonypath/protocol";
import * as settings from "../../src/settings/mod.ts";

const TEXT = `
[host]
name = "host-1"
failure_domain = "fd-1"
roles = ["control"]
data_folder = "data"
[listen]
operators = "127.0.0.1:0"
fleet = "127.0.0.1:0"
[control]
initial_voters = ["127.0.0.1:0"]
[secrets]
fleet_file = "fleet.secret"
[[operators]]
name = "admin"
token_file = "admin.secret"
rights = ["read"]
`;
const TOKEN = "0123456789abcdef";

const CASES: [
  title: string,
  invalidate: (folder: string) => Promise<void>,
  path: string,
  reason: RegExp,
][] = [
  [
    "a missing secret",
    (folder) => fs.rm(`${folder}/fleet.secret`),
    "secrets.fleet_file",
    /ENOENT/,
  ],
  [
    "a secret open to others",
    (folder) => fs.chmod(`${folder}/fleet.secret`, 0o644),
    "secrets.fleet_file",
    /open to group or others/,
  ],
  [
    "a short secret",
    (folder) => fs.writeFile(`${folder}/fleet.secret`, "abc"),
    "secrets.fleet_file",
    /no usable secret/,
  ],
  [
    "a directory in place of a secret",
    replaceWithDirectory,
    "secrets.fleet_file",
    /EISDIR|open to group/,
  ],
  [
    "two operators with one token",
    shareToken,
    "operators[1].token_file",
    /token of operator admin/,
  ],
  ["a missing certificate", addTls, "tls.callers.certificate_file", /ENOENT/],
  [
    "a private key that others may read",
    (folder) => addKey(folder, 0o640),
    "tls.callers.key_file",
    /open to group or others/,
  ],
  [
    "a file that is not a private key",
    (folder) => addKey(folder, 0o600),
    "tls.callers.key_file",
    /no key of the certificate/,
  ],
  [
    "a missing settings file",
    (folder) => fs.rm(`${folder}/host.toml`),
    "file",
    /ENOENT/,
  ],
];

describe("loadSettings", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
    await fs.writeFile(`${folder}/host.toml`, TEXT);
    await fs.writeFile(`${folder}/fleet.secret`, TOKEN, { mode: 0o600 });
    await fs.writeFile(`${folder}/admin.secret`, `${TOKEN}-a\n`, {
      mode: 0o600,
    });
  });

  afterEach(() => fs.rm(folder, { recursive: true }));

  it("reads the secrets", async () => {
    const loaded = await settings.loadSettings(`${folder}/host.toml`);
    expect(loaded.fleetSecret).to.equal(TOKEN);
    expect(loaded.operators[0]?.token).to.equal(`${TOKEN}-a`);
  });

  for (const [title, invalidate, path, reason] of CASES) {
    it(`rejects ${title}`, async () => {
      await invalidate(folder);
      const error = await settings.loadSettings(`${folder}/host.toml`).then(
        () => undefined,
        (error) => error,
      );
      expect(error).to.be.instanceOf(protocol.settings.SettingsError);
      const finding = error.findings.find((f: protocol.toml.Finding) =>
        f.path === path
      );
      expect(finding?.reason, error.message).to.match(reason);
      expect(error.message).to.not.contain(TOKEN);
    });
  }
});

async function replaceWithDirectory(folder: string): Promise<void> {
  await fs.rm(`${folder}/fleet.secret`);
  await fs.mkdir(`${folder}/fleet.secret`);
}

async function shareToken(folder: string): Promise<void> {
  const second =
    '[[operators]]\nname = "b"\ntoken_file = "admin.secret"\nrights = ["read"]\n';
  await fs.appendFile(`${folder}/host.toml`, second);
}

/** Adds TLS settings whose certificate and key files are not valid PEM. */
async function addKey(folder: string, mode: number): Promise<void> {
  await addTls(folder);
  await fs.writeFile(`${folder}/c.pem`, "no certificate\n");
  await fs.writeFile(`${folder}/k.pem`, "no key\n", { mode });
}

async function addTls(folder: string): Promise<void> {
  const text =
    '[tls.callers]\ncertificate_file = "c.pem"\nkey_file = "k.pem"\n';
  await fs.appendFile(`${folder}/host.toml`, text);
}
