import { expect } from "chai";
import * as configuration from "../../src/configuration/mod.ts";

const WORKSPACE = {
  name: "staff",
  rate: 1,
  burst: 1,
  weight: 1,
  deferredLimit: 1,
};
const TIER = {
  name: "now",
  maxWaitMs: 1,
  priceFactor: 1,
  delivery: "connected",
} as const;
const ROUTE = {
  method: "GET",
  path: "/a",
  idempotent: true,
  open: false,
  cost: 1,
} as const;
const MODEL = {
  name: "m",
  version: "1",
  bytes: 1,
  kvBytes: 0,
  maxReplicas: 1,
  defaultMaxTokens: 1,
  adapters: [],
};
const PLAIN: configuration.Service = {
  name: "s",
  kind: "plain",
  models: [],
  routes: [ROUTE],
  workspaces: ["staff"],
  tiers: [TIER],
};
const ENGINE: configuration.Service = {
  ...PLAIN,
  kind: "model",
  models: [MODEL],
  routes: [],
};

const CASES: [
  title: string,
  service: configuration.Service,
  flaws: string[],
][] = [
  ["a sound plain service", PLAIN, []],
  ["a sound model service", ENGINE, []],
  ["an unknown workspace", { ...PLAIN, workspaces: ["web"] }, [
    's: service.workspaces names the unknown workspace "web"',
  ]],
  ["a workspace named twice", { ...PLAIN, workspaces: ["staff", "staff"] }, [
    's: service.workspaces names "staff" twice',
  ]],
  ["two tiers of one name", { ...PLAIN, tiers: [TIER, TIER] }, [
    's: tiers names "now" twice',
  ]],
  ["two routes alike", { ...PLAIN, routes: [ROUTE, ROUTE] }, [
    's: routes names "GET /a" twice',
  ]],
  ["a * inside a path", {
    ...PLAIN,
    routes: [{ ...ROUTE, path: "/a/*/b" }],
  }, ['s: routes have "/a/*/b" with a * inside']],
  ["no routes", { ...PLAIN, routes: [] }, ["s: routes is empty"]],
  ["models in a plain service", { ...PLAIN, models: [MODEL] }, [
    "s: models stand in a service of kind plain",
  ]],
  ["no models", { ...ENGINE, models: [] }, ["s: models is empty"]],
  ["routes in a model service", { ...ENGINE, routes: [ROUTE] }, [
    "s: routes stand in a service of kind model",
  ]],
];

describe("configuration checks", () => {
  for (const [title, service, flaws] of CASES) {
    it(`find ${flaws.length} flaws in ${title}`, () => {
      const checked = { workspaces: [WORKSPACE], services: [service] };
      const found = configuration.validateConfiguration(checked);
      expect(found.map(configuration.renderIssue)).to.deep.equal(flaws);
    });
  }

  it("find names used twice", () => {
    const found = configuration.validateConfiguration({
      workspaces: [WORKSPACE, WORKSPACE],
      services: [PLAIN, PLAIN],
    });
    expect(found.map(configuration.renderIssue)).to.deep.equal([
      'workspaces names "staff" twice',
      's: service names "s" twice',
    ]);
  });
});
