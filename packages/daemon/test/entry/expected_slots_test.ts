import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as entry from "../../src/entry/mod.ts";

const POOL = "engine-1/a";

function server(
  fields: Partial<protocol.control.ServerStatus>,
): protocol.control.ServerStatus {
  return {
    id: "engine-1",
    incarnation: "a",
    address: "127.0.0.1:1",
    failureDomain: "fd-1",
    kind: "engine",
    services: ["advice"],
    ready: [],
    limit: 2,
    queued: 0,
    usable: true,
    ...fields,
  };
}

/** What the shares and the exchanges were told, after each set of servers. */
function observe(steps: {
  servers: protocol.control.ServerStatus[];
  waiting: string[];
}[]) {
  const servers = new Map<string, protocol.control.ServerStatus>();
  const told: [string, number][] = [];
  let waiting: string[] = [];
  let exchanges = 0;
  const expected = new entry.ExpectedSlots({
    state: { servers },
    shares: { setExpectedSlots: (pool, count) => told.push([pool, count]) },
    waiting: () => waiting.map((target) => ({ target }) as entry.Work),
    requestExchange: () => exchanges += 1,
  });
  for (const step of steps) {
    servers.clear();
    for (const one of step.servers) servers.set(one.id, one);
    waiting = step.waiting;
    expected.update(0);
  }
  return { told, exchanges };
}

describe("slots asked for during a load", () => {
  const loading = server({ loading: ["advice/last"] });
  const wanted = ["advice/last", "advice/last", "advice/other"];
  const cases = [
    {
      name: "are those of the requests that wait for its model",
      steps: [{ servers: [loading], waiting: wanted }],
      told: [[POOL, 2]],
      exchanges: 1,
    },
    {
      name: "are asked for once",
      steps: [
        { servers: [loading], waiting: wanted },
        { servers: [loading], waiting: wanted },
      ],
      told: [[POOL, 2], [POOL, 2]],
      exchanges: 1,
    },
    {
      name: "are no longer expected when the load has ended",
      steps: [
        { servers: [loading], waiting: wanted },
        { servers: [server({ ready: ["advice/last"] })], waiting: wanted },
      ],
      told: [[POOL, 2], [POOL, 0]],
      exchanges: 1,
    },
    {
      name: "are none for other models",
      steps: [{ servers: [loading], waiting: ["advice/other"] }],
      told: [],
      exchanges: 0,
    },
    {
      name: "are none on a server that takes no work",
      steps: [{
        servers: [server({ loading: ["advice/last"], usable: false })],
        waiting: wanted,
      }],
      told: [],
      exchanges: 0,
    },
  ];
  for (const { name, steps, told, exchanges } of cases) {
    it(name, () => {
      expect(observe(steps)).to.deep.equal({ told, exchanges });
    });
  }
});
