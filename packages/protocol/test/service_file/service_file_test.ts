import { expect } from "chai";
import * as fs from "node:fs";
import * as path from "node:path";
import * as configuration from "../../src/configuration/mod.ts";
import * as serviceFile from "../../src/service_file/mod.ts";
import * as settings from "../../src/settings/mod.ts";

const EXAMPLES = path.resolve(import.meta.dirname, "../../../../../examples");
const ADVICE = read("advice/ebonypath.toml");
const ORDERS = read("orders/ebonypath.toml");

/** Each case modifies the advice file and states the expected finding. */
const CASES: [
  title: string,
  from: string,
  to: string,
  path: string,
  reason: RegExp,
][] = [
  ["a size without a unit", '"8 GB"', '"8"', "models[0].bytes", /not a size/],
  ["a negative size", '"8 GB"', "-8", "models[0].bytes", /not a size/],
  [
    "a size above the maximum",
    '"8 GB"',
    '"900000000 TB"',
    "models[0].bytes",
    /not a size/,
  ],
  [
    "an unknown unit",
    '"20s"',
    '"20 weeks"',
    "tiers[0].max_wait",
    /not a duration/,
  ],
  [
    "a number as a duration",
    '"20s"',
    "20",
    "tiers[0].max_wait",
    /not a duration/,
  ],
  ["a wait of zero", '"20s"', '"0s"', "tiers[0].max_wait", /not a duration/],
  [
    "an unknown delivery",
    '"deferred"',
    '"post"',
    "tiers[1].delivery",
    /is "post"/,
  ],
  [
    "an unknown key",
    "price_factor",
    "price",
    "tiers[0].price",
    /not a known key/,
  ],
  ["an unknown kind", '"model"', '"modle"', "service.kind", /is "modle"/],
  [
    "a name with a slash",
    '"advice"',
    '"ad/vice"',
    "service.name",
    /wrong form/,
  ],
  [
    "a service without tiers",
    ADVICE.slice(ADVICE.indexOf("[[tiers]]")),
    "",
    "tiers",
    /missing/,
  ],
  [
    "models without a service",
    ADVICE.slice(0, ADVICE.indexOf("[[models]]")),
    "",
    "service",
    /missing/,
  ],
  ["an empty file", ADVICE, "", "file", /empty/],
  [
    "an unknown workspace",
    '["web-shop", "partners"]',
    '["nobody"]',
    "service.workspaces",
    /unknown workspace "nobody"/,
  ],
  [
    "two models with the same name",
    '"assistant-large"',
    '"assistant-small"',
    "models",
    /twice/,
  ],
  [
    "two adapters with the same name",
    '"garden-tools"',
    '"returns"',
    "models.assistant-small.adapters",
    /twice/,
  ],
  ["two tiers with the same name", '"later"', '"now"', "tiers", /twice/],
  [
    "a workspace described twice",
    'name = "partners"\nrate',
    'name = "web-shop"\nrate',
    "workspaces.web-shop",
    /described twice/,
  ],
  [
    "models in a plain service",
    'kind = "model"',
    'kind = "plain"',
    "models",
    /kind plain/,
  ],
];

describe("service files", () => {
  it("merges the examples independently of their order", () => {
    const files = [parse(ADVICE, "a.toml"), parse(ORDERS, "b.toml")];
    const merged = serviceFile.mergeServiceFiles(files);
    expect(merged).to.deep.equal(
      serviceFile.mergeServiceFiles(files.reverse()),
    );
    expect(merged.services.map(({ name }) => name)).to.deep.equal([
      "advice",
      "orders",
    ]);
    expect(merged.services[0]?.models[0]?.bytes).to.equal(8e9);
    expect(merged.services[0]?.tiers[1]?.maxWaitMs).to.equal(6 * 3_600_000);
  });

  for (const [title, from, to, path, reason] of CASES) {
    it(`rejects ${title}`, () => {
      expect(ADVICE).to.contain(from);
      const findings = findingsOf([[ADVICE.replace(from, to), "a.toml"]]);
      const match = findings.find((finding) => finding.path === path);
      expect(match, JSON.stringify(findings)).to.not.equal(undefined);
      expect(match?.file).to.equal("a.toml");
      expect(match?.reason).to.match(reason);
      expect(match?.hint).to.not.equal("");
    });
  }

  it("names both files of a workspace conflict", () => {
    const other = ORDERS.replace("rate = 2000", "rate = 1");
    const findings = findingsOf([[ADVICE, "a.toml"], [other, "b.toml"]]);
    expect(findings).to.have.length(1);
    expect(findings[0]?.file).to.equal("b.toml");
    expect(findings[0]?.reason).to.equal("differs from a.toml in rate");
  });

  it("names both files of a service conflict", () => {
    const findings = findingsOf([[ADVICE, "a.toml"], [ADVICE, "b.toml"]]);
    expect(findings[0]?.file).to.equal("b.toml");
    expect(findings[0]?.reason).to.contain("a.toml");
  });

  it("formats differences by subject and field", () => {
    const before = serviceFile.mergeServiceFiles([parse(ADVICE, "a.toml")]);
    const changed = ADVICE.replace("rate = 500", "rate = 600")
      .replaceAll("assistant-large", "assistant-huge");
    const after = serviceFile.mergeServiceFiles([parse(changed, "a.toml")]);
    const lines = configuration.diffConfiguration(before, after)
      .map(configuration.renderDifference);
    expect(lines).to.deep.equal([
      "~ workspace partners rate: 500 -> 600",
      '+ model advice/assistant-huge version=1 bytes="26 GB" kv_bytes="6 GB" max_replicas=1 default_max_tokens=1024',
      "- model advice/assistant-large",
    ]);
    expect(configuration.diffConfiguration(after, after)).to.deep.equal([]);
  });
});

describe("example settings", () => {
  const directory = path.join(EXAMPLES, "settings");
  const names = fs.readdirSync(directory, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".toml"));
  for (const name of names) {
    it(`accepts ${name}`, () => {
      settings.parseSettings(read(`settings/${name}`), name);
    });
  }
});

function read(name: string): string {
  return fs.readFileSync(path.join(EXAMPLES, name), "utf8");
}

function parse(text: string, file: string): serviceFile.ParsedServiceFile {
  return serviceFile.parseServiceFile(text, file);
}

function findingsOf(files: [text: string, file: string][]) {
  try {
    serviceFile.mergeServiceFiles(
      files.map(([text, file]) => parse(text, file)),
    );
  } catch (error) {
    if (error instanceof serviceFile.ServiceFileError) return error.findings;
    throw error;
  }
  return [];
}
