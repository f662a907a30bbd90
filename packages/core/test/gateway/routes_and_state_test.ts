import type { gateway as protocol } from "@ebonypath/protocol";
import { expect } from "chai";
import {
  GatewayState,
  pickService,
  RouteTable,
} from "../../src/gateway/mod.ts";

function route(
  host: string,
  pathPrefix: string,
  split = [{ service: "s", weight: 1 }],
): protocol.Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: "safe",
    timeoutMs: 1_000,
    targetMs: 100,
    priority: 1,
    split,
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
  };
}

function configure(version: number): protocol.Command {
  const configuration = {
    version,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  return { kind: "configure", configuration, source: `v${version}` };
}

describe("gateway route table", () => {
  const routes = new RouteTable([
    route("a.example", "/"),
    route("a.example", "/x/"),
    route("a.example", "/x/y/"),
    route("b.example", "/x/"),
  ]);
  const cases: [string, string, string | undefined][] = [
    ["a.example", "/x/y/z", "a.example/x/y/"],
    ["a.example", "/x/yz", "a.example/x/"],
    ["A.Example:8080", "/x/?q=/y/", "a.example/x/"],
    ["a.example", "/x", "a.example/"],
    ["b.example", "/", undefined],
    ["c.example", "/x/", undefined],
  ];
  for (const [host, path, expected] of cases) {
    it(`matches ${expected ?? "none"} for ${host}${path}`, () => {
      expect(routes.match(host, path)?.name).to.equal(expected);
    });
  }

  it("splits by weight and never picks a weight of 0", () => {
    const split = [
      { service: "none", weight: 0 },
      { service: "most", weight: 90 },
      { service: "few", weight: 10 },
      { service: "last", weight: 0 },
    ];
    const pick = (random: number) =>
      pickService(route("h", "/", split), random);
    expect([0, 0.89, 0.91, 0.999_999].map(pick))
      .to.deep.equal(["most", "most", "few", "few"]);
  });
});

describe("gateway state", () => {
  it("keeps the highest configuration version", () => {
    const state = new GatewayState();
    expect(state.apply(configure(7))).to.equal(true);
    expect(state.apply(configure(3))).to.equal(false);
    const resent = { ...configure(7), source: "other" } as protocol.Command;
    expect(state.apply(resent)).to.equal(false);
    expect(state.source).to.equal("v7");
  });

  it("counts the changes of the quarantines, and drops the oldest beyond a limit", () => {
    const state = new GatewayState();
    for (let index = 0; index <= 1_000; index += 1) {
      state.apply({
        kind: "quarantine",
        fingerprint: `${index}`,
        workspace: "t1",
        model: "m",
        untilMs: 10_000 + index,
      });
    }
    expect(state.quarantines.length).to.equal(1_000);
    expect(state.quarantines[0]?.fingerprint).to.equal("1");
    expect(state.quarantineRevision).to.equal(1_001);
    const release = { kind: "release-quarantine", fingerprint: "7" } as const;
    expect(state.apply(release)).to.equal(true);
    expect(state.apply(release)).to.equal(false);
    expect(state.quarantineRevision).to.equal(1_002);
    const restored = GatewayState.fromSnapshot(state.toSnapshot());
    expect(restored.quarantines).to.deep.equal(state.quarantines);
    expect(restored.quarantineRevision).to.equal(1_002);
  });

  it("is restored from a snapshot unchanged", () => {
    const state = new GatewayState();
    state.apply(configure(7));
    state.apply({ kind: "withdraw-domain", domain: "a" });
    state.apply({ kind: "withdraw-domain", domain: "b" });
    state.apply({ kind: "restore-domain", domain: "a" });
    state.apply({ kind: "hold-orders", host: "c1" });
    const restored = GatewayState.fromSnapshot(state.toSnapshot());
    expect(restored.toSnapshot()).to.equal(state.toSnapshot());
    expect(restored.withdrawnDomains).to.deep.equal(["b"]);
    expect(restored.orderHolder).to.equal("c1");
  });
});
