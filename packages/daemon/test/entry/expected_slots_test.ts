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

/** Runs steps and returns the published slots and the number of exchanges. */
function runSteps(steps: {
  servers: protocol.control.ServerStatus[];
  waiting: string[];
}[]) {
  const servers = new Map<string, protocol.control.ServerStatus>();
  const published: [string, number][] = [];
  let waiting: string[] = [];
  let exchanges = 0;
  const expected = new entry.ExpectedSlots({
    state: { servers },
    shares: {
      setExpectedSlots: (pool, count) => published.push([pool, count]),
    },
    waiting: () => waiting.map((target) => ({ target }) as entry.Work),
    requestExchange: () => exchanges += 1,
  });
  for (const step of steps) {
    servers.clear();
    for (const status of step.servers) servers.set(status.id, status);
    waiting = step.waiting;
    expected.update(0);
  }
  return { published, exchanges };
}

describe("ExpectedSlots", () => {
  const loading = server({ loading: ["advice/last"] });
  const wanted = ["advice/last", "advice/last", "advice/other"];
  const cases = [
    {
      name: "requests slots for the requests that wait for the loading model",
      steps: [{ servers: [loading], waiting: wanted }],
      published: [[POOL, 2]],
      exchanges: 1,
    },
    {
      name: "requests an exchange only once",
      steps: [
        { servers: [loading], waiting: wanted },
        { servers: [loading], waiting: wanted },
      ],
      published: [[POOL, 2], [POOL, 2]],
      exchanges: 1,
    },
    {
      name: "withdraws the request when the load has ended",
      steps: [
        { servers: [loading], waiting: wanted },
        { servers: [server({ ready: ["advice/last"] })], waiting: wanted },
      ],
      published: [[POOL, 2], [POOL, 0]],
      exchanges: 1,
    },
    {
      name: "requests no slots for other models",
      steps: [{ servers: [loading], waiting: ["advice/other"] }],
      published: [],
      exchanges: 0,
    },
    {
      name: "requests no slots on an unusable server",
      steps: [{
        servers: [server({ loading: ["advice/last"], usable: false })],
        waiting: wanted,
      }],
      published: [],
      exchanges: 0,
    },
  ];
  for (const { name, steps, published, exchanges } of cases) {
    it(name, () => {
      expect(runSteps(steps)).to.deep.equal({ published, exchanges });
    });
  }
});
