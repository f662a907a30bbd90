import { expect } from "chai";
import { ConfigurationRollout } from "../../src/gateway/configuration_rollout.ts";

describe("the rollout of a configuration", () => {
  it("is completed by the last host that confirms it", () => {
    const rollout = new ConfigurationRollout();
    rollout.recordHost("a", null, 0);
    rollout.recordHost("b", null, 0);
    rollout.begin(7, 100);
    expect(rollout.recordHost("a", 7, 110)).to.equal(undefined);
    expect(rollout.hostsBehind(120)).to.deep.equal([
      { host: "b", behindMs: 20 },
    ]);
    expect(rollout.recordHost("b", 7, 130)).to.deep.equal({
      version: 7,
      hostCount: 2,
      durationMs: 30,
    });
    expect(rollout.hostsBehind(140)).to.deep.equal([]);
  });

  it("is completed by a newer version", () => {
    const rollout = new ConfigurationRollout();
    rollout.recordHost("a", 3, 0);
    rollout.begin(4, 10);
    rollout.begin(5, 20);
    expect(rollout.recordHost("a", 5, 50)).to.deep.equal({
      version: 5,
      hostCount: 1,
      durationMs: 30,
    });
    expect(rollout.hostsBehind(60)).to.deep.equal([]);
  });

  it("names a host that is behind by several versions", () => {
    const rollout = new ConfigurationRollout();
    rollout.recordHost("a", 3, 0);
    rollout.begin(4, 10);
    rollout.begin(9, 20);
    rollout.recordHost("a", 4, 30);
    expect(rollout.hostsBehind(40)).to.deep.equal([
      { host: "a", behindMs: 10 },
    ]);
  });

  it("does not wait for a host that is gone", () => {
    const rollout = new ConfigurationRollout();
    rollout.recordHost("a", 3, 0);
    rollout.recordHost("b", 3, 0);
    rollout.begin(4, 10);
    rollout.removeHost("b");
    expect(rollout.recordHost("a", 4, 30)?.version).to.equal(4);
  });

  it("counts from when a host is known to be behind", () => {
    const rollout = new ConfigurationRollout();
    rollout.begin(4, 10);
    rollout.recordHost("a", 4, 20);
    rollout.begin(4, 30);
    rollout.recordHost("b", null, 500);
    expect(rollout.hostsBehind(550)).to.deep.equal([
      { host: "b", behindMs: 50 },
    ]);
  });
});
