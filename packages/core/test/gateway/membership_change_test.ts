import { expect } from "chai";
import {
  type MembershipInput,
  nextMembershipChange,
} from "../../src/gateway/mod.ts";

type Scenario = {
  readonly voters: readonly string[];
  readonly learners?: readonly string[];
  readonly joining?: readonly string[];
  readonly silent?: readonly string[];
};

/** Member ids are `ADDRESS-DISK`; the first voter is the leader. */
function input(
  { joining = [], learners = [], silent = [], voters }: Scenario,
): MembershipInput {
  const member = (id: string) => ({ id, address: id.split("-")[0] ?? "" });
  return {
    membership: {
      voters: voters.map(member),
      learners: learners.map(member),
    },
    joining: joining.map(member),
    silenceMs: (id) => silent.includes(id) ? 10_000 : 50,
    self: voters[0] ?? "",
    minVoters: 5,
  };
}

const FIVE = ["a-1", "b-1", "c-1", "d-1", "e-1"];

describe("gateway membership change", () => {
  const cases: [string, Scenario, ReturnType<typeof nextMembershipChange>][] = [
    [
      "changes nothing while all voters answer",
      { voters: FIVE, joining: FIVE },
      undefined,
    ],
    ["adds a new host as a learner first", {
      voters: ["a-1", "b-1", "c-1"],
      joining: ["d-1"],
    }, { kind: "addLearner", member: { id: "d-1", address: "d" } }],
    ["adds one host at a time", {
      voters: ["a-1", "b-1", "c-1"],
      learners: ["d-1"],
      joining: ["d-1", "e-1"],
    }, { kind: "promote", id: "d-1" }],
    ["keeps a silent voter while there is no replacement", {
      voters: FIVE,
      joining: ["a-1", "b-1", "c-1", "d-1"],
      silent: ["e-1"],
    }, undefined],
    ["adds a member with a new disk before it removes the lost one", {
      voters: FIVE,
      joining: ["a-1", "b-1", "c-1", "d-1", "e-2"],
      silent: ["e-1"],
    }, { kind: "addLearner", member: { id: "e-2", address: "e" } }],
    ["removes a voter if a newer one has its address", {
      voters: [...FIVE, "e-2"],
      joining: ["a-1", "b-1", "c-1", "d-1", "e-2"],
      silent: ["e-1"],
    }, { kind: "remove", id: "e-1" }],
    ["removes a silent voter after another host has joined", {
      voters: [...FIVE, "f-1"],
      joining: ["a-1", "b-1", "c-1", "d-1", "f-1"],
      silent: ["e-1"],
    }, { kind: "remove", id: "e-1" }],
    ["lets a removed voter join again", {
      voters: ["a-1", "b-1", "c-1", "d-1", "f-1"],
      joining: ["e-1"],
    }, { kind: "addLearner", member: { id: "e-1", address: "e" } }],
    ["removes a learner that no longer asks to join", {
      voters: FIVE,
      learners: ["f-1"],
      joining: ["g-1"],
    }, { kind: "remove", id: "f-1" }],
  ];
  for (const [name, scenario, expected] of cases) {
    it(name, () => {
      expect(nextMembershipChange(input(scenario))).to.deep.equal(expected);
    });
  }

  it("ends with all running hosts as voters after two losses", () => {
    const current = {
      voters: [...FIVE],
      learners: [] as string[],
    };
    const running = ["a-1", "b-1", "c-1", "d-2", "f-1"];
    const silent = ["d-1", "e-1"];
    for (let step = 0; step < 20; step += 1) {
      const change = nextMembershipChange(
        input({ ...current, joining: running, silent }),
      );
      if (change === undefined) break;
      apply(current, change);
    }
    expect([...current.voters].sort()).to.deep.equal(running.sort());
  });
});

function apply(
  current: { voters: string[]; learners: string[] },
  change: NonNullable<ReturnType<typeof nextMembershipChange>>,
): void {
  switch (change.kind) {
    case "addLearner":
      current.learners.push(change.member.id);
      return;
    case "promote":
      current.learners = current.learners.filter((id) => id !== change.id);
      current.voters.push(change.id);
      return;
    case "remove":
      current.learners = current.learners.filter((id) => id !== change.id);
      current.voters = current.voters.filter((id) => id !== change.id);
  }
}
