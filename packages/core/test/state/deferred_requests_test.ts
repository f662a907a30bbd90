import { expect } from "chai";
import type * as protocol from "@ebonypath/protocol";
import * as fixtures from "./fixtures.ts";

const id = fixtures.accept("1").id;
const { OWNER, OTHER, ANSWER } = fixtures;

type Step = (log: fixtures.Log) => unknown;
const assign: Step = (log) =>
  log.apply({ kind: "assign-deferred", ids: [id], ...OWNER });
const giveBack: Step = (log) =>
  log.apply({ kind: "return-deferred", id, ...OWNER });
const finish: Step = (log) =>
  log.apply({ kind: "finish-deferred", id, ...OWNER, answer: ANSWER });
const lose: Step = (log) => log.apply({ kind: "lose-host", ...OWNER });
const cancel: Step = (log) =>
  log.apply({ kind: "cancel-deferred", id, workspace: "web" });
const deadline: Step = (log) => log.wait(10_000);

/** Steps after acceptance, and the end for idempotent and other requests. */
const HISTORIES: [string, Step[], string, string][] = [
  ["accepted", [], "waiting", "waiting"],
  ["deadline", [deadline], "not-run", "not-run"],
  ["assigned", [assign], "assigned", "assigned"],
  ["assigned, deadline", [assign, deadline], "may-have-run", "may-have-run"],
  ["assigned, deadline, late answer", [assign, deadline, finish], "ran", "ran"],
  ["assigned, returned", [assign, giveBack], "waiting", "waiting"],
  [
    "assigned, returned, deadline",
    [assign, giveBack, deadline],
    "not-run",
    "not-run",
  ],
  ["answered", [assign, finish], "ran", "ran"],
  ["answered, host death", [assign, finish, lose], "ran", "ran"],
  ["answered, deadline", [assign, finish, deadline], "ran", "ran"],
  ["host death", [assign, lose], "waiting", "may-have-run"],
  [
    "host death, deadline",
    [assign, lose, deadline],
    "may-have-run",
    "may-have-run",
  ],
  ["host death, late answer", [assign, lose, finish], "waiting", "ran"],
  ["cancelled", [cancel], "not-run", "not-run"],
  ["cancelled, assigned", [cancel, assign], "not-run", "not-run"],
  ["assigned, cancelled", [assign, cancel], "assigned", "assigned"],
  ["assigned, cancelled, answered", [assign, cancel, finish], "ran", "ran"],
  [
    "assigned, cancelled, returned",
    [assign, cancel, giveBack],
    "not-run",
    "not-run",
  ],
  [
    "assigned, cancelled, host death",
    [assign, cancel, lose],
    "may-have-run",
    "may-have-run",
  ],
];

function stand(log: fixtures.Log): string | undefined {
  const phase = log.state.deferred(id)?.phase;
  return phase?.kind === "ended" ? phase.answer.outcome : phase?.kind;
}

describe("deferred requests", () => {
  for (const [name, steps, idempotent, other] of HISTORIES) {
    for (const restarts of [false, true]) {
      it(`${name}${restarts ? ", leader changes" : ""}`, () => {
        for (
          const [repeatable, expected] of [[true, idempotent], [false, other]]
        ) {
          const log = new fixtures.Log();
          log.publish();
          log.apply(fixtures.accept("1", repeatable === true));
          for (const step of steps) {
            step(log);
            if (restarts) log.restart();
          }
          expect(stand(log)).to.equal(expected);
        }
      });
    }
  }

  it("gives a resend the id of the first acceptance", () => {
    const log = new fixtures.Log();
    log.publish();
    const first = log.apply(fixtures.accept("1", true, fixtures.KEY));
    expect(log.apply(fixtures.accept("2", true, fixtures.KEY)))
      .to.deep.equal(first);
    expect(log.apply(fixtures.accept("1", true, fixtures.KEY)))
      .to.deep.equal(first);
    const other = fixtures.accept("3", false, fixtures.KEY);
    expect(log.apply(other).kind).to.equal("claim-conflict");
  });

  it("refuses what exceeds the limits", () => {
    const log = new fixtures.Log({ deferred: 3 });
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

  it("keeps a late return off a later assignment", () => {
    const log = new fixtures.Log();
    log.publish();
    log.apply(fixtures.accept("1", false));
    assign(log);
    const assignment = log.entries.length;
    giveBack(log);
    assign(log);
    const late = { id, assignment, ...OWNER };
    expect(log.apply({ kind: "return-deferred", ...late }).kind)
      .to.equal("not-found");
    expect(stand(log)).to.equal("assigned");
  });

  it("hands a request to one host only", () => {
    const log = new fixtures.Log();
    log.publish();
    log.apply(fixtures.accept("1"));
    assign(log);
    const second: protocol.state.CommandResult = log.apply({
      kind: "assign-deferred",
      ids: [id],
      ...OTHER,
    });
    expect(second).to.deep.include({ kind: "assigned", ids: [] });
    const stolen = { kind: "finish-deferred", id, ...OTHER, answer: ANSWER };
    expect(log.apply(stolen as protocol.state.Command).kind)
      .to.equal("not-found");
  });

  it("forgets an answer after its retention", () => {
    const log = new fixtures.Log();
    log.publish();
    log.apply(fixtures.accept("1"));
    assign(log);
    finish(log);
    log.wait(24 * 60 * 60 * 1_000 - 1);
    expect(stand(log)).to.equal("ran");
    log.wait(1);
    expect(stand(log)).to.equal(undefined);
  });
});
