import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as entry from "../../src/entry/mod.ts";

function server(
  ready: string[],
  incarnation = "a",
): protocol.control.ServerStatus {
  return {
    id: "s1",
    incarnation,
    address: "127.0.0.1:1",
    failureDomain: "fd-1",
    kind: "engine",
    services: ["advice"],
    ready,
    limit: 2,
    queued: 0,
    usable: true,
  };
}

describe("countLingering", () => {
  const target = "advice/a";
  const row = { server: "s1", incarnation: "a", target, running: 2 };
  const cases = [
    {
      name: "counts no request while its target is offered",
      now: server([target]),
      rows: [],
    },
    {
      name: "counts requests whose target is not offered",
      now: server([]),
      rows: [row],
    },
    {
      name: "counts requests of an earlier server incarnation",
      now: server([target], "b"),
      rows: [row],
    },
    {
      name: "counts requests of a missing server",
      now: undefined,
      rows: [row],
    },
  ];
  for (const { name, now, rows } of cases) {
    it(name, () => {
      const running = [1, 2].map(() => ({
        work: { target },
        server: server([target]),
      }));
      const servers = new Map(now === undefined ? [] : [[now.id, now]]);
      expect(entry.countLingering(running, servers)).to.deep.equal(rows);
    });
  }
});
