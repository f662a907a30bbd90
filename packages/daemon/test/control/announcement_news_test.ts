import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as announcementNews from "../../src/control/announcement_news.ts";

const KNOWN: protocol.backend.Announcement = {
  id: "engine-1",
  incarnation: "i1",
  address: "http://127.0.0.1:9000",
  failureDomain: "fd-1",
  kind: "engine",
  services: ["advice"],
  memoryBytes: 100,
  loaded: [{ model: "advice/small", version: "1", bytes: 10 }],
  cached: [],
  concurrency: 4,
  running: 1,
  queued: 0,
  checksFencing: true,
  leaving: false,
  sequence: 1,
};

const CASES: readonly [
  string,
  Partial<protocol.backend.Announcement>,
  boolean,
][] = [
  ["counts of requests", { running: 3, queued: 2, sequence: 2 }, false],
  ["the same models, listed anew", { loaded: [...KNOWN.loaded] }, false],
  ["a model less", { loaded: [] }, true],
  ["a new start", { incarnation: "i2" }, true],
  ["leaving", { leaving: true }, true],
  ["another limit", { concurrency: 8 }, true],
  ["another service", { services: ["orders"] }, true],
];

describe("news in announcements", () => {
  it("takes a server that was not heard before as news", () => {
    expect(announcementNews.isNews(undefined, KNOWN)).to.equal(true);
  });

  for (const [what, change, expected] of CASES) {
    it(`${what}: ${expected ? "news" : "no news"}`, () => {
      const next = { ...KNOWN, ...change };
      expect(announcementNews.isNews(KNOWN, next)).to.equal(expected);
    });
  }
});
