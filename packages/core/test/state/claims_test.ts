import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as fixtures from "./fixtures.ts";

type Step = (log: fixtures.Log) => protocol.state.CommandResult;

const workspace = "web";
const key = fixtures.KEY;
const open: Step = (log) => log.apply(fixtures.openClaim());
const close: Step = (log) =>
  log.apply({
    kind: "close-claim",
    workspace,
    key,
    ...fixtures.OWNER,
    answer: fixtures.ANSWER,
  });
const release: Step = (log) =>
  log.apply({ kind: "release-claim", workspace, key, ...fixtures.OWNER });
const lose: Step = (log) => log.apply({ kind: "lose-host", ...fixtures.OWNER });
const day: Step = (log) => log.wait(24 * 60 * 60 * 1_000).result;

/** What a resend of the caller meets at another host after each history. */
const HISTORIES: [string, Step[], string][] = [
  ["nothing", [], "claimed"],
  ["host death before the claim", [lose], "claimed"],
  ["claim", [open], "claim-running"],
  ["claim, claim proposed twice", [open, open], "claim-running"],
  ["claim, host death", [open, lose], "claim-unknown"],
  ["claim, host death twice", [open, lose, lose], "claim-unknown"],
  ["claim, answer", [open, close], "claim-answered"],
  ["claim, answer sent twice", [open, close, close], "claim-answered"],
  ["claim, answer, host death", [open, close, lose], "claim-answered"],
  ["claim, host death, late answer", [open, lose, close], "claim-answered"],
  ["claim, release", [open, release], "claimed"],
  ["claim, release sent twice", [open, release, release], "claimed"],
  ["claim, release, host death", [open, release, lose], "claimed"],
  ["claim, host death, late release", [open, lose, release], "claimed"],
  ["claim, answer, late release", [open, close, release], "claim-answered"],
  ["claim, release, late answer", [open, release, close], "claimed"],
  ["claim, a day", [open, day], "claim-running"],
  ["claim, host death, a day", [open, lose, day], "claimed"],
  ["claim, answer, a day", [open, close, day], "claimed"],
];

describe("claims", () => {
  for (const leaderChanges of [false, true]) {
    for (const [name, steps, expected] of HISTORIES) {
      it(`${name}${leaderChanges ? ", leader changes" : ""}`, () => {
        const log = new fixtures.Log();
        log.publish();
        for (const step of steps) {
          step(log);
          if (leaderChanges) log.restart();
        }
        const result = log.apply(fixtures.openClaim(fixtures.OTHER, "t2"));
        expect(result.kind).to.equal(expected);
      });
    }
  }

  it("answers a resent proposal as the first one", () => {
    const log = new fixtures.Log();
    const first = open(log);
    expect(open(log)).to.deep.equal(first);
    const second = log.apply(fixtures.openClaim(fixtures.OWNER, "t2"));
    expect(second).to.deep.equal({ kind: "claim-running", host: "h1" });
  });

  it("refuses a key that belongs to another request", () => {
    const log = new fixtures.Log();
    open(log);
    const other = fixtures.openClaim(fixtures.OTHER, "t2", "c".repeat(64));
    expect(log.apply(other).kind).to.equal("claim-conflict");
  });

  it("keeps a late proposal from opening a released claim", () => {
    const log = new fixtures.Log();
    open(log);
    release(log);
    expect(open(log).kind).to.equal("not-found");
  });

  it("keeps an attempt that was given up from opening late", () => {
    const log = new fixtures.Log();
    const release = {
      kind: "release-claim",
      workspace,
      key,
      attempt: "t1",
      ...fixtures.OWNER,
    } as const;
    expect(log.apply(release).kind).to.equal("done");
    expect(log.apply(fixtures.openClaim(fixtures.OWNER, "t1")).kind)
      .to.equal("not-found");
    expect(log.apply(fixtures.openClaim(fixtures.OWNER, "t2")).kind)
      .to.equal("claimed");
    expect(log.apply(release).kind).to.equal("not-found");
    expect(log.apply(fixtures.openClaim(fixtures.OWNER, "t3")).kind)
      .to.equal("claim-running");
  });

  it("keeps a late release off a later claim of the same host", () => {
    const log = new fixtures.Log();
    open(log);
    const late = { claim: log.entries.length, ...fixtures.OWNER };
    release(log);
    log.apply(fixtures.openClaim(fixtures.OWNER, "t2"));
    const result = log.apply({
      kind: "release-claim",
      workspace,
      key,
      ...late,
    });
    expect(result.kind).to.equal("not-found");
    expect(log.state.claim(workspace, key)?.phase.kind).to.equal("open");
  });

  it("lets only the owner close and release", () => {
    const log = new fixtures.Log();
    open(log);
    const stranger = { host: "h1", hostIncarnation: "b" };
    const target = { workspace, key, ...stranger };
    const answer = fixtures.ANSWER;
    expect(log.apply({ kind: "close-claim", ...target, answer }).kind)
      .to.equal("not-found");
    expect(log.apply({ kind: "release-claim", ...target }).kind)
      .to.equal("not-found");
  });

  it("refuses claims of a host that was declared lost", () => {
    const log = new fixtures.Log();
    lose(log);
    expect(open(log).kind).to.equal("host-lost");
  });

  it("refuses new claims when full and takes them after the retention", () => {
    const log = new fixtures.Log({ claims: 1 });
    open(log);
    close(log);
    const other = { ...fixtures.openClaim(), key: "c".repeat(64) };
    expect(log.apply(other as protocol.state.Command).kind).to.equal("full");
    log.timeMs += 24 * 60 * 60 * 1_000;
    expect(log.apply(other as protocol.state.Command).kind)
      .to.equal("claimed");
  });

  it("says that the request ran when its answer cannot be kept", () => {
    const log = new fixtures.Log({ claimAnswerLength: 1 });
    open(log);
    close(log);
    const result = log.apply(fixtures.openClaim(fixtures.OTHER, "t2"));
    if (result.kind !== "claim-answered") throw new Error(result.kind);
    expect(result.answer.status).to.equal(409);
    expect(result.answer.outcome).to.equal("ran");
  });
});
