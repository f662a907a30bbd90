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
const PLAIN_SERVICE: configuration.Service = {
  name: "s",
  kind: "plain",
  models: [],
  routes: [ROUTE],
  workspaces: ["staff"],
  tiers: [TIER],
};
const MODEL_SERVICE: configuration.Service = {
  ...PLAIN_SERVICE,
  kind: "model",
  models: [MODEL],
  routes: [],
};

const CASES: [
  title: string,
  service: configuration.Service,
  issues: string[],
][] = [
  ["a valid plain service", PLAIN_SERVICE, []],
  ["a valid model service", MODEL_SERVICE, []],
  ["an unknown workspace", { ...PLAIN_SERVICE, workspaces: ["web"] }, [
    's: service.workspaces names the unknown workspace "web"',
  ]],
  ["a duplicate workspace", {
    ...PLAIN_SERVICE,
    workspaces: ["staff", "staff"],
  }, [
    's: service.workspaces names "staff" twice',
  ]],
  ["two tiers with the same name", { ...PLAIN_SERVICE, tiers: [TIER, TIER] }, [
    's: tiers names "now" twice',
  ]],
  ["two identical routes", { ...PLAIN_SERVICE, routes: [ROUTE, ROUTE] }, [
    's: routes names "GET /a" twice',
  ]],
  ["a * in the middle of a path", {
    ...PLAIN_SERVICE,
    routes: [{ ...ROUTE, path: "/a/*/b" }],
  }, ['s: routes have "/a/*/b" with a * inside']],
  ["no routes", { ...PLAIN_SERVICE, routes: [] }, ["s: routes is empty"]],
  ["models in a plain service", { ...PLAIN_SERVICE, models: [MODEL] }, [
    "s: models stand in a service of kind plain",
  ]],
  ["no models", { ...MODEL_SERVICE, models: [] }, ["s: models is empty"]],
  ["routes in a model service", { ...MODEL_SERVICE, routes: [ROUTE] }, [
    "s: routes stand in a service of kind model",
  ]],
];

describe("configuration validation", () => {
  for (const [title, service, issues] of CASES) {
    it(`finds ${issues.length} issues in ${title}`, () => {
      const input = { workspaces: [WORKSPACE], services: [service] };
      const found = configuration.validateConfiguration(input);
      expect(found.map(configuration.renderIssue)).to.deep.equal(issues);
    });
  }

  it("finds duplicate workspaces and services", () => {
    const found = configuration.validateConfiguration({
      workspaces: [WORKSPACE, WORKSPACE],
      services: [PLAIN_SERVICE, PLAIN_SERVICE],
    });
    expect(found.map(configuration.renderIssue)).to.deep.equal([
      'workspaces names "staff" twice',
      's: service names "s" twice',
    ]);
  });
});
