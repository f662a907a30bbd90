import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as tls from "node:tls";
import { fileURLToPath } from "node:url";
import { freePort, launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as selfsigned from "selfsigned";
import * as undici from "undici";

const DAEMON = fileURLToPath(new URL("../../src/main.js", import.meta.url));
const LISTENERS = ["callers", "backends", "operators", "fleet"];
const SECRET = "0123456789abcdef0123456789abcdef";

/** Writes a certificate for 127.0.0.1 with its key, and returns it. */
async function writeCertificate(folder: string): Promise<string> {
  const made = await selfsigned.generate(
    [{ name: "commonName", value: "127.0.0.1" }],
    {
      extensions: [
        { name: "basicConstraints", cA: true },
        { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
      ],
    },
  );
  await fs.writeFile(path.join(folder, "host.crt"), made.cert);
  const key = path.join(folder, "host.key");
  await fs.writeFile(key, made.private, { mode: 0o600 });
  return made.cert;
}

async function writeSettings(folder: string, ports: number[]): Promise<string> {
  const [callers, backends, operators, fleet] = ports;
  for (const name of ["fleet", "join"]) {
    const file = path.join(folder, `${name}.secret`);
    await fs.writeFile(file, `${SECRET}${name}\n`, { mode: 0o600 });
  }
  const text = [
    "[host]",
    'name = "host-1"',
    'failure_domain = "fd-1"',
    'roles = ["entry", "control"]',
    'data_folder = "data"',
    "[listen]",
    `callers = "127.0.0.1:${callers}"`,
    `backends = "127.0.0.1:${backends}"`,
    `operators = "127.0.0.1:${operators}"`,
    `fleet = "127.0.0.1:${fleet}"`,
    "[control]",
    `hosts = ["127.0.0.1:${fleet}"]`,
    `initial_voters = ["127.0.0.1:${fleet}"]`,
    "[secrets]",
    'fleet_file = "fleet.secret"',
    'join_token_file = "join.secret"',
    "[backends]",
    'allowed_addresses = ["127.0.0.0/8"]',
    "[limits]",
    "drain_delay_ms = 0",
    ...LISTENERS.flatMap((listener) => [
      `[tls.${listener}]`,
      'certificate_file = "host.crt"',
      'key_file = "host.key"',
      ...(listener === "fleet" ? ['ca_file = "host.crt"'] : []),
    ]),
  ].join("\n");
  const file = path.join(folder, "host.toml");
  await fs.writeFile(file, text);
  return file;
}

/** Fingerprint of the certificate that a listener shows. */
function shownFingerprint(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = tls.connect(
      { port, host: "127.0.0.1", rejectUnauthorized: false },
      () => {
        resolve(socket.getPeerCertificate().fingerprint256);
        socket.destroy();
      },
    );
    socket.on("error", reject);
  });
}

/** What a private key file holds besides its first and last line. */
async function keyLines(folder: string): Promise<string[]> {
  const text = await fs.readFile(path.join(folder, "host.key"), "utf8");
  return text.trim().split(/\r?\n/).slice(1, -1).map((line) => line.trim());
}

/** All that a host has written: its log and the files of its data folder. */
async function written(
  host: launcher.Process,
  folder: string,
): Promise<string> {
  const data = path.join(folder, "data");
  const entries = await fs.readdir(data, {
    recursive: true,
    withFileTypes: true,
  });
  const texts = await Promise.all(
    entries.filter((entry) => entry.isFile()).map((entry) =>
      fs.readFile(path.join(entry.parentPath, entry.name), "latin1")
    ),
  );
  return [...host.lines, ...texts].join("\n");
}

describe("TLS on every listener", () => {
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-tls-"));
  });
  afterEach(() => fs.rm(folder, { recursive: true, force: true }));

  it("carries the links of a host, and takes a new certificate", async () => {
    const ca = await writeCertificate(folder);
    const ports = await freePort.freePorts(LISTENERS.length);
    const file = await writeSettings(folder, ports);
    await using host = launcher.launch(DAEMON, ["--settings", file]);
    await using agent = new AgentOf(ca);
    const callers = ports[0] as number;
    await wait.waitFor("readiness over TLS", async () => {
      const answer = await undici.request(
        `https://127.0.0.1:${callers}/readyz`,
        { dispatcher: agent.agent },
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    }, { timeoutMs: 20_000 });

    const before = await shownFingerprint(callers);
    await writeCertificate(folder);
    host.signal("SIGHUP");
    await wait.waitFor(
      "the new certificate",
      async () => await shownFingerprint(callers) !== before,
    );
    expect(await shownFingerprint(ports[2] as number)).not.to.equal(before);
  });

  it("writes no private key and no secret, and keeps a good certificate", async () => {
    await writeCertificate(folder);
    const ports = await freePort.freePorts(LISTENERS.length);
    const file = await writeSettings(folder, ports);
    await using host = launcher.launch(DAEMON, ["--settings", file]);
    await host.waitForLine(/event=ready/, 20_000);
    const callers = ports[0] as number;
    const before = await shownFingerprint(callers);
    const good = await keyLines(folder);
    const keyFile = path.join(folder, "host.key");
    const text = await fs.readFile(keyFile, "utf8");
    const broken = text.replace(good[2] as string, "not-a-line-of-a-key");
    await fs.writeFile(keyFile, broken);
    host.signal("SIGHUP");
    const told = await host.waitForLine(/event=not-reloaded/);
    expect(told).to.match(/tls\.callers\.key_file.*host\.key is no key/);
    expect(await shownFingerprint(callers)).to.equal(before);
    expect(host.isRunning, host.tail).to.equal(true);
    const all = await written(host, folder);
    const secrets = [...good, ...await keyLines(folder), SECRET];
    expect(secrets.filter((secret) => all.includes(secret))).to.deep.equal([]);
    // The search would have found what is known to be there.
    expect(all).to.include(told);
  });
});

class AgentOf implements AsyncDisposable {
  readonly agent: undici.Agent;

  constructor(ca: string) {
    this.agent = new undici.Agent({ connect: { ca } });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }
}
