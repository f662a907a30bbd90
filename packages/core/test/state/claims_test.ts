import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as fixtures from "./fixtures.ts";

type Step = (log: fixtures.TestLog) => protocol.state.CommandResult;

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
const loseHost: Step = (log) =>
  log.apply({ kind: "lose-host", ...fixtures.OWNER });
const waitOneDay: Step = (log) => log.advanceTime(24 * 60 * 60 * 1_000).result;

/**
 * Histories of a claim, each with the result that a resend of the caller then
 * gets at another host.
 */
const HISTORIES: [string, Step[], string][] = [
  ["nothing", [], "claimed"],
  ["host death before the claim", [loseHost], "claimed"],
  ["claim", [open], "claim-running"],
  ["claim, claim proposed twice", [open, open], "claim-running"],
  ["claim, host death", [open, loseHost], "claim-unknown"],
  ["claim, host death twice", [open, loseHost, loseHost], "claim-unknown"],
  ["claim, answer", [open, close], "claim-answered"],
  ["claim, answer sent twice", [open, close, close], "claim-answered"],
  ["claim, answer, host death", [open, close, loseHost], "claim-answered"],
  ["claim, host death, late answer", [open, loseHost, close], "claim-answered"],
  ["claim, release", [open, release], "claimed"],
  ["claim, release sent twice", [open, release, release], "claimed"],
  ["claim, release, host death", [open, release, loseHost], "claimed"],
  ["claim, host death, late release", [open, loseHost, release], "claimed"],
  ["claim, answer, late release", [open, close, release], "claim-answered"],
  ["claim, release, late answer", [open, release, close], "claimed"],
  ["claim, a day", [open, waitOneDay], "claim-running"],
  ["claim, host death, a day", [open, loseHost, waitOneDay], "claimed"],
  ["claim, answer, a day", [open, close, waitOneDay], "claimed"],
];

describe("claims", () => {
  for (const leaderChanges of [false, true]) {
    for (const [name, steps, expected] of HISTORIES) {
      it(`${name}${leaderChanges ? ", leader changes" : ""}`, () => {
        const log = new fixtures.TestLog();
        log.publish();
        for (const step of steps) {
          step(log);
          if (leaderChanges) log.restoreFromSnapshot();
        }
        const result = log.apply(
          fixtures.openClaim(fixtures.OTHER_OWNER, "t2"),
        );
        expect(result.kind).to.equal(expected);
      });
    }
  }

  it("gives a resent proposal the result of the first one", () => {
    const log = new fixtures.TestLog();
    const first = open(log);
    expect(open(log)).to.deep.equal(first);
    const second = log.apply(fixtures.openClaim(fixtures.OWNER, "t2"));
    expect(second).to.deep.equal({ kind: "claim-running", host: "h1" });
  });

  it("refuses a key that was used for another request", () => {
    const log = new fixtures.TestLog();
    open(log);
    const other = fixtures.openClaim(
      fixtures.OTHER_OWNER,
      "t2",
      "c".repeat(64),
    );
    expect(log.apply(other).kind).to.equal("claim-conflict");
  });

  it("refuses a late proposal of an attempt that released its claim", () => {
    const log = new fixtures.TestLog();
    open(log);
    release(log);
    expect(open(log).kind).to.equal("not-found");
  });

  it("refuses a late proposal of an attempt that was given up", () => {
    const log = new fixtures.TestLog();
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

  it("does not apply a late release to a later claim of the same host", () => {
    const log = new fixtures.TestLog();
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
    const log = new fixtures.TestLog();
    open(log);
    const otherProcess = { host: "h1", hostIncarnation: "b" };
    const target = { workspace, key, ...otherProcess };
    const answer = fixtures.ANSWER;
    expect(log.apply({ kind: "close-claim", ...target, answer }).kind)
      .to.equal("not-found");
    expect(log.apply({ kind: "release-claim", ...target }).kind)
      .to.equal("not-found");
  });

  it("refuses claims of a host that was declared lost", () => {
    const log = new fixtures.TestLog();
    loseHost(log);
    expect(open(log).kind).to.equal("host-lost");
  });

  it("refuses new claims when full and takes them after the retention", () => {
    const log = new fixtures.TestLog({ claims: 1 });
    open(log);
    close(log);
    const other = { ...fixtures.openClaim(), key: "c".repeat(64) };
    expect(log.apply(other as protocol.state.Command).kind).to.equal("full");
    log.timeMs += 24 * 60 * 60 * 1_000;
    expect(log.apply(other as protocol.state.Command).kind)
      .to.equal("claimed");
  });

  it("reports that the request ran if its answer cannot be kept", () => {
    const log = new fixtures.TestLog({ claimAnswerLength: 1 });
    open(log);
    close(log);
    const result = log.apply(fixtures.openClaim(fixtures.OTHER_OWNER, "t2"));
    if (result.kind !== "claim-answered") throw new Error(result.kind);
    expect(result.answer.status).to.equal(409);
    expect(result.answer.outcome).to.equal("ran");
  });
});
