import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as fixtures from "./fixtures.ts";

const id = fixtures.accept("1").id;
const { OWNER, OTHER_OWNER, ANSWER } = fixtures;

type Step = (log: fixtures.TestLog) => unknown;
const assign: Step = (log) =>
  log.apply({ kind: "assign-deferred", ids: [id], ...OWNER });
const returnRequest: Step = (log) =>
  log.apply({ kind: "return-deferred", id, ...OWNER });
const finish: Step = (log) =>
  log.apply({ kind: "finish-deferred", id, ...OWNER, answer: ANSWER });
const loseHost: Step = (log) => log.apply({ kind: "lose-host", ...OWNER });
const cancelRequest: Step = (log) =>
  log.apply({ kind: "cancel-deferred", id, workspace: "web" });
const passDeadline: Step = (log) => log.advanceTime(10_000);

/**
 * Steps after acceptance, with the final status of an idempotent and of a
 * non-idempotent request.
 */
const HISTORIES: [string, Step[], string, string][] = [
  ["accepted", [], "waiting", "waiting"],
  ["deadline", [passDeadline], "not-run", "not-run"],
  ["assigned", [assign], "assigned", "assigned"],
  [
    "assigned, deadline",
    [assign, passDeadline],
    "may-have-run",
    "may-have-run",
  ],
  [
    "assigned, deadline, late answer",
    [assign, passDeadline, finish],
    "ran",
    "ran",
  ],
  ["assigned, returned", [assign, returnRequest], "waiting", "waiting"],
  [
    "assigned, returned, deadline",
    [assign, returnRequest, passDeadline],
    "not-run",
    "not-run",
  ],
  ["answered", [assign, finish], "ran", "ran"],
  ["answered, host death", [assign, finish, loseHost], "ran", "ran"],
  ["answered, deadline", [assign, finish, passDeadline], "ran", "ran"],
  ["host death", [assign, loseHost], "waiting", "may-have-run"],
  [
    "host death, deadline",
    [assign, loseHost, passDeadline],
    "may-have-run",
    "may-have-run",
  ],
  ["host death, late answer", [assign, loseHost, finish], "waiting", "ran"],
  ["cancelled", [cancelRequest], "not-run", "not-run"],
  ["cancelled, assigned", [cancelRequest, assign], "not-run", "not-run"],
  ["assigned, cancelled", [assign, cancelRequest], "assigned", "assigned"],
  [
    "assigned, cancelled, answered",
    [assign, cancelRequest, finish],
    "ran",
    "ran",
  ],
  [
    "assigned, cancelled, returned",
    [assign, cancelRequest, returnRequest],
    "not-run",
    "not-run",
  ],
  [
    "assigned, cancelled, host death",
    [assign, cancelRequest, loseHost],
    "may-have-run",
    "may-have-run",
  ],
];

function currentStatus(log: fixtures.TestLog): string | undefined {
  const phase = log.state.deferred(id)?.phase;
  return phase?.kind === "ended" ? phase.answer.outcome : phase?.kind;
}

describe("deferred requests", () => {
  for (const [name, steps, idempotent, other] of HISTORIES) {
    for (const leaderChanges of [false, true]) {
      it(`${name}${leaderChanges ? ", leader changes" : ""}`, () => {
        for (
          const [repeatable, expected] of [[true, idempotent], [false, other]]
        ) {
          const log = new fixtures.TestLog();
          log.publish();
          log.apply(fixtures.accept("1", repeatable === true));
          for (const step of steps) {
            step(log);
            if (leaderChanges) log.restoreFromSnapshot();
          }
          expect(currentStatus(log)).to.equal(expected);
        }
      });
    }
  }

  it("gives a resend the id of the first acceptance", () => {
    const log = new fixtures.TestLog();
    log.publish();
    const first = log.apply(fixtures.accept("1", true, fixtures.KEY));
    expect(log.apply(fixtures.accept("2", true, fixtures.KEY)))
      .to.deep.equal(first);
    expect(log.apply(fixtures.accept("1", true, fixtures.KEY)))
      .to.deep.equal(first);
    const other = fixtures.accept("3", false, fixtures.KEY);
    expect(log.apply(other).kind).to.equal("claim-conflict");
  });

  it("refuses requests beyond the limits", () => {
    const log = new fixtures.TestLog({ deferred: 3 });
    log.publish();
    const accepted = (name: string, workspace: string) => {
      const command = fixtures.accept(name);
      const request = { ...command.request, workspace };
      return log.apply({ ...command, request }).kind;
    };
    expect(accepted("1", "web")).to.equal("deferred");
    expect(accepted("2", "web")).to.equal("deferred");
    expect(accepted("3", "web")).to.equal("full");
    expect(accepted("4", "staff")).to.equal("deferred");
    expect(accepted("5", "staff")).to.equal("full");
    expect(accepted("6", "nobody")).to.equal("invalid");
  });

  it("does not apply a late return to a later assignment", () => {
    const log = new fixtures.TestLog();
    log.publish();
    log.apply(fixtures.accept("1", false));
    assign(log);
    const assignment = log.entries.length;
    returnRequest(log);
    assign(log);
    const late = { id, assignment, ...OWNER };
    expect(log.apply({ kind: "return-deferred", ...late }).kind)
      .to.equal("not-found");
    expect(currentStatus(log)).to.equal("assigned");
  });

  it("assigns a request to one host only", () => {
    const log = new fixtures.TestLog();
    log.publish();
    log.apply(fixtures.accept("1"));
    assign(log);
    const second: protocol.state.CommandResult = log.apply({
      kind: "assign-deferred",
      ids: [id],
      ...OTHER_OWNER,
    });
    expect(second).to.deep.include({ kind: "assigned", ids: [] });
    const foreignAnswer = {
      kind: "finish-deferred",
      id,
      ...OTHER_OWNER,
      answer: ANSWER,
    };
    expect(log.apply(foreignAnswer as protocol.state.Command).kind)
      .to.equal("not-found");
  });

  it("removes an answer after its retention", () => {
    const log = new fixtures.TestLog();
    log.publish();
    log.apply(fixtures.accept("1"));
    assign(log);
    finish(log);
    log.advanceTime(24 * 60 * 60 * 1_000 - 1);
    expect(currentStatus(log)).to.equal("ran");
    log.advanceTime(1);
    expect(currentStatus(log)).to.equal(undefined);
  });
});
