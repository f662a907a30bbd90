import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as registry from "../../src/control/host_registry.ts";

const REPLICA = { server: "s1", incarnation: "i1", model: "advice/a" };

function exchangeOf(
  name: string,
  lingering: protocol.control.LingeringRequests[],
): protocol.control.ExchangeRequest {
  return {
    host: { name, incarnation: "1", failureDomain: "d1" },
    roles: ["entry"],
    version: 1,
    current: true,
    appliedIndex: 1,
    draining: false,
    demand: [],
    lingering,
    suspicions: [],
    deferredCapacity: 0,
    heartbeats: [],
  };
}

function row(fields: Partial<protocol.control.LingeringRequests>) {
  const { server, incarnation, model: target } = REPLICA;
  return { server, incarnation, target, running: 1, ...fields };
}

describe("requests on a replica that is to be unloaded", () => {
  const cases = [
    { name: "are none", rows: [[], []], sum: 0 },
    { name: "are added up", rows: [[row({})], [row({ running: 2 })]], sum: 3 },
    {
      name: "include those of adapters",
      rows: [[row({ target: "advice/a:x" })]],
      sum: 1,
    },
    {
      name: "are not those of another model",
      rows: [[row({ target: "advice/ab" })]],
      sum: 0,
    },
    {
      name: "are not those of another server",
      rows: [[row({ server: "s2" })]],
      sum: 0,
    },
    {
      name: "are not those of another start of the server",
      rows: [[row({ incarnation: "i2" })]],
      sum: 0,
    },
  ];
  for (const { name, rows, sum } of cases) {
    it(name, () => {
      const hosts = new registry.HostRegistry();
      rows.forEach((of, index) => hosts.hear(exchangeOf(`h${index}`, of), 100));
      expect(hosts.lingeringOn(REPLICA, 100, 200)).to.equal(sum);
    });
  }

  it("are unknown until each live host has reported", () => {
    const hosts = new registry.HostRegistry();
    hosts.hear(exchangeOf("h1", []), 100);
    hosts.hear(exchangeOf("h2", []), 50);
    expect(hosts.lingeringOn(REPLICA, 100, 200)).to.equal(undefined);
    hosts.hear(exchangeOf("h2", []), 150);
    expect(hosts.lingeringOn(REPLICA, 100, 200)).to.equal(0);
  });

  it("are not waited for at a lost host", () => {
    const hosts = new registry.HostRegistry();
    hosts.hear(exchangeOf("h1", []), 0);
    const now = registry.HOST_LOST_MS;
    hosts.hear(exchangeOf("h2", []), now);
    expect(hosts.lingeringOn(REPLICA, now, now)).to.equal(0);
  });
});

describe("a host that drains", () => {
  it("goes on draining, whatever it said before comes late", () => {
    const hosts = new registry.HostRegistry();
    const exchange = exchangeOf("entry-1", []);
    hosts.hear({ ...exchange, draining: true }, 1);
    hosts.hear(exchange, 2);
    expect(hosts.live(2).map(({ draining }) => draining))
      .to.deep.equal([true]);
    const host = { ...exchange.host, incarnation: "2" };
    hosts.hear({ ...exchange, host }, 3);
    expect(hosts.live(3).map(({ draining }) => draining))
      .to.deep.equal([true, false]);
  });
});
