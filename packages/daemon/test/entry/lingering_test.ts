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

describe("lingering requests", () => {
  const target = "advice/a";
  const row = { server: "s1", incarnation: "a", target, running: 2 };
  const cases = [
    {
      name: "none while the target is offered",
      now: server([target]),
      rows: [],
    },
    { name: "those of a target that is not", now: server([]), rows: [row] },
    {
      name: "those of an earlier start of the server",
      now: server([target], "b"),
      rows: [row],
    },
    { name: "those of a server that is gone", now: undefined, rows: [row] },
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
