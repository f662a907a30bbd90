import { expect } from "chai";
import * as settings from "../../src/settings/mod.ts";

const VALID = `
[host]
name = "host-1"
failure_domain = "fd-1"
roles = ["entry", "control"]
data_folder = "data"
[listen]
callers = "127.0.0.1:0"
backends = "127.0.0.1:0"
operators = "127.0.0.1:0"
fleet = "127.0.0.1:7001"
[control]
initial_voters = ["127.0.0.1:7001"]
[secrets]
fleet_file = "fleet.secret"
join_token_file = "join.secret"
[[operators]]
name = "admin"
token_file = "admin.secret"
rights = ["read"]
[backends]
allowed_addresses = ["127.0.0.0/8"]
`;

/** Each case modifies the valid file and states the expected finding. */
const CASES: [
  title: string,
  from: string,
  to: string,
  path: string,
  reason: RegExp,
][] = [
  ["a syntax error", "[host]", "[host", "line 2, column 6", /./],
  ["an unknown table", "[control]", "[kontrol]", "kontrol", /not a known key/],
  [
    "an unknown key",
    "data_folder",
    "data_dir",
    "host.data_dir",
    /not a known key/,
  ],
  [
    "a key in camelCase",
    "failure_domain",
    "failureDomain",
    "host.failureDomain",
    /not a known key/,
  ],
  ["a missing name", 'name = "host-1"', "", "host.name", /missing/],
  ["a wrong type", '"host-1"', "17", "host.name", /is 17/],
  ["a name with a space", '"host-1"', '"host 1"', "host.name", /not a name/],
  [
    "an unknown role",
    '"control"]',
    '"kontrol"]',
    "host.roles[1]",
    /is "kontrol"/,
  ],
  [
    "an empty list of roles",
    '["entry", "control"]',
    "[]",
    "host.roles",
    /is empty/,
  ],
  [
    "a host name instead of an IP address",
    '"127.0.0.1:7001"\n[control]',
    '"localhost:7001"\n[control]',
    "listen.fleet",
    /not an address/,
  ],
  [
    "a port out of range",
    'callers = "127.0.0.1:0"',
    'callers = "127.0.0.1:70000"',
    "listen.callers",
    /not an address/,
  ],
  [
    "an entry host without a listener for callers",
    'callers = "127.0.0.1:0"',
    "",
    "listen.callers",
    /role "entry" needs it/,
  ],
  [
    "a control host without a data folder",
    'data_folder = "data"',
    "",
    "host.data_folder",
    /role "control" needs it/,
  ],
  [
    "initial voters without this host",
    '["127.0.0.1:7001"]',
    '["127.0.0.1:7002"]',
    "control.initial_voters",
    /own address/,
  ],
  [
    "a duplicate voter",
    '["127.0.0.1:7001"]',
    '["127.0.0.1:7001", "127.0.0.1:7001"]',
    "control.initial_voters",
    /twice/,
  ],
  [
    "a voter with port 0",
    '["127.0.0.1:7001"]',
    '["127.0.0.1:7001", "127.0.0.1:0"]',
    "control.initial_voters",
    /can't be reached/,
  ],
  [
    "an unknown right",
    '["read"]',
    '["write"]',
    "operators[0].rights[0]",
    /is "write"/,
  ],
  [
    "an invalid address range",
    '"127.0.0.0/8"',
    '"127.0.0.0/64"',
    "backends.allowed_addresses[0]",
    /not a range/,
  ],
  [
    "a limit out of bounds",
    "[secrets]",
    "[limits]\nmax_queue = 0\n[secrets]",
    "limits.max_queue",
    /too small/,
  ],
  [
    "an incomplete TLS entry",
    "[secrets]",
    '[tls.callers]\nkey_file = "k"\n[secrets]',
    "tls.callers.certificate_file",
    /missing/,
  ],
];

describe("settings", () => {
  it("applies defaults and resolves paths relative to the settings file", () => {
    const parsed = settings.parseSettings(VALID, "/etc/ebonypath/host.toml");
    expect(parsed.host.dataFolder).to.equal("/etc/ebonypath/data");
    expect(parsed.secrets.fleetFile).to.equal("/etc/ebonypath/fleet.secret");
    expect(parsed.host.cell).to.equal("local");
    expect(parsed.limits.maxBodyBytes).to.equal(4 * 1024 * 1024);
  });

  for (const [title, from, to, path, reason] of CASES) {
    it(`rejects ${title}`, () => {
      expect(VALID).to.contain(from);
      const findings = findingsOf(VALID.replace(from, to));
      const match = findings.find((finding) => finding.path === path);
      expect(match, JSON.stringify(findings)).to.not.equal(undefined);
      expect(match?.file).to.equal("host.toml");
      expect(match?.reason).to.match(reason);
      expect(match?.hint).to.not.equal("");
    });
  }

  it("identifies this voter by its advertised address", () => {
    const behindProxy = VALID.replace(
      'fleet = "127.0.0.1:7001"',
      'fleet = "0.0.0.0:7101"\nfleet_advertised = "127.0.0.1:7001"',
    );
    const { listen } = settings.parseSettings(behindProxy, "/etc/host.toml");
    expect(settings.fleetAddress(listen)).to.equal("127.0.0.1:7001");
  });

  it("reports all findings at once", () => {
    const text = VALID.replace('"host-1"', "17").replace('"fd-1"', "18");
    expect(findingsOf(text)).to.have.length(2);
  });

  it("matches addresses by range", () => {
    const allowed = settings.matchAddresses(["10.0.0.0/8", "::1/128"]);
    expect(allowed("10.1.2.3")).to.equal(true);
    expect(allowed("11.1.2.3")).to.equal(false);
    expect(allowed("::1")).to.equal(true);
    expect(allowed("example.org")).to.equal(false);
  });
});

function findingsOf(text: string) {
  try {
    settings.parseSettings(text, "host.toml");
  } catch (error) {
    if (error instanceof settings.SettingsError) return error.findings;
    throw error;
  }
  return [];
}
