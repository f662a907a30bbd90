import { expect } from "chai";
import * as replication from "../../src/replication/mod.ts";

type Send = Extract<replication.Effect, { kind: "send" }>;

const START_MS = 10_000;
const MINIMUM_MS = replication.DEFAULT_SETTINGS.electionTimeoutMinimumMs;
const LEASE_MS = MINIMUM_MS * (1 - replication.DEFAULT_SETTINGS.leaseMargin);

function members(...ids: string[]): replication.Member[] {
  return ids.map((id) => ({ id, address: id }));
}

/** A replica whose disk syncs at once, unless told otherwise. */
class Subject {
  readonly replica: replication.Replica;
  now = START_MS;
  syncs = true;
  sent: Send[] = [];
  outcomes: replication.Outcome[] = [];

  constructor(
    voters: string[],
    settings: Partial<replication.Settings> = {},
    learners: string[] = [],
  ) {
    const formed = replication.bootstrapState({
      voters: members(...voters),
      learners: members(...learners),
    });
    this.replica = new replication.Replica({
      self: "a",
      ...formed,
      snapshot: null,
      random: () => 0,
      now: START_MS,
      settings,
    });
  }

  step(input: replication.Input): void {
    this.sent = [];
    this.outcomes = [];
    const effects = this.replica.step(input, this.now);
    for (let effect; (effect = effects.shift()) !== undefined;) {
      if (effect.kind === "send") {
        this.sent.push(effect);
      } else if (effect.kind === "outcome") {
        this.outcomes.push(effect.outcome);
      } else if (effect.kind === "persist" && this.syncs) {
        const { sequence } = effect;
        const input = { kind: "persisted", sequence } as const;
        effects.push(...this.replica.step(input, this.now));
      }
    }
  }

  receive(from: string, message: replication.Message): void {
    this.step({ kind: "message", from, message });
  }

  replies<K extends replication.Message["kind"]>(kind: K) {
    type Reply = Extract<replication.Message, { kind: K }>;
    return this.sent.map(({ message }) => message)
      .filter((message): message is Reply => message.kind === kind);
  }

  /** Wins an election by the vote of `b`, without any answer to an append. */
  lead(): void {
    this.now += MINIMUM_MS;
    this.step({ kind: "tick" });
    const requestTerm = this.replica.term + 1;
    this.receive("b", {
      kind: "preVoteReply",
      term: this.replica.term,
      requestTerm,
      granted: true,
      isFree: false,
      isUpToDate: true,
    });
    const { term } = this.replica;
    this.receive("b", { kind: "voteReply", term, granted: true });
    expect(this.replica.role).to.equal("leader");
  }

  acknowledge(from: string, matchIndex: number, sentAt = this.now): void {
    this.receive(from, {
      kind: "appendReply",
      term: this.replica.term,
      success: true,
      previousIndex: matchIndex,
      matchIndex,
      sentAt,
    });
  }
}

function vote(term: number, transfer = false): replication.Message {
  return { kind: "vote", term, lastIndex: 9, lastTerm: 9, transfer };
}

function append(
  term: number,
  index: number,
): Extract<replication.Message, { kind: "append" }> {
  const payload = { kind: "command" as const, data: "x" };
  return {
    kind: "append",
    term,
    previousIndex: index - 1,
    previousTerm: 1,
    entries: [{ index, term, payload }],
    commitIndex: 0,
    sentAt: 5,
  };
}

describe("replica", () => {
  const voters = ["a", "b", "c"];

  it("refuses votes after its start and after hearing a leader", () => {
    const subject = new Subject(voters);
    const granted = (message: replication.Message) => {
      subject.receive("c", message);
      return subject.replies("voteReply")[0]?.granted;
    };
    subject.now += MINIMUM_MS - 1;
    expect(granted(vote(5))).to.equal(false);
    subject.receive("b", append(5, 2));
    subject.now += MINIMUM_MS - 1;
    expect(granted(vote(6))).to.equal(false);
    expect(subject.replica.term).to.equal(5);
    expect(granted(vote(6, true))).to.equal(true);
    subject.now += 1;
    expect(granted(vote(7))).to.equal(true);
  });

  describe("asks after its start whether anyone leads, and", () => {
    const PROBE_MS = replication.DEFAULT_SETTINGS.probeMaximumMs;

    function asked(): Subject {
      const subject = new Subject(voters);
      subject.now += PROBE_MS;
      subject.step({ kind: "tick" });
      expect(subject.replies("preVote")).to.have.length(2);
      return subject;
    }

    function reply(
      fields: Partial<Extract<replication.Message, { kind: "preVoteReply" }>>,
    ): replication.Message {
      return {
        kind: "preVoteReply",
        term: 1,
        requestTerm: 2,
        granted: false,
        isFree: true,
        isUpToDate: true,
        ...fields,
      };
    }

    const cases = [
      { name: "leads if nobody does", c: {}, role: "candidate" },
      {
        name: "leads if one voter holds more, and enough do not",
        c: { isUpToDate: false },
        role: "candidate",
      },
      {
        name: "waits if one leads or asks for votes",
        c: { isFree: false },
        role: "preCandidate",
      },
      {
        name: "waits if one is of an earlier term",
        c: { term: 0 },
        role: "preCandidate",
      },
    ];
    for (const { name, c, role } of cases) {
      it(name, () => {
        const subject = asked();
        subject.receive("b", reply({}));
        expect(subject.replica.role).to.equal("preCandidate");
        subject.receive("c", reply(c));
        expect(subject.replica.role).to.equal(role);
        if (role !== "candidate") return;
        expect(subject.replies("vote").map(({ transfer }) => transfer))
          .to.deep.equal([true, true]);
      });
    }

    it("waits if too many voters hold more", () => {
      const subject = asked();
      subject.receive("b", reply({ isUpToDate: false }));
      subject.receive("c", reply({ isUpToDate: false }));
      expect(subject.replica.role).to.equal("preCandidate");
    });

    it("does not count its own vote while it may owe it to a leader", () => {
      const subject = asked();
      subject.receive("b", reply({ granted: true }));
      expect(subject.replica.role).to.equal("preCandidate");
    });

    it("does not ask again once it has heard a leader", () => {
      const subject = asked();
      subject.receive("b", append(1, 2));
      subject.now += PROBE_MS;
      subject.step({ kind: "tick" });
      expect(subject.replica.role).to.equal("follower");
    });
  });

  it("holds a lease from the send time of the answered heartbeat", () => {
    const subject = new Subject(voters);
    subject.lead();
    expect(subject.replica.leaseUntil).to.equal(-Infinity);
    const sentAt = subject.now;
    subject.now += 300;
    subject.acknowledge("b", 2, sentAt);
    expect(subject.replica.leaseUntil).to.equal(sentAt + LEASE_MS);
    expect(subject.replica.hasLease(sentAt + LEASE_MS - 1)).to.equal(true);
    expect(subject.replica.hasLease(sentAt + LEASE_MS)).to.equal(false);
  });

  it("gives up its lease for good when it hands leadership over", () => {
    const subject = new Subject(voters);
    subject.lead();
    subject.acknowledge("b", 2);
    subject.step({ kind: "transferLeadership", to: "b" });
    expect(subject.replies("timeoutNow")).to.have.length(1);
    subject.acknowledge("c", 2);
    expect(subject.replica.hasLease(subject.now)).to.equal(false);
    subject.now += 1_200;
    subject.step({ kind: "tick" });
    expect(subject.replica.role).to.equal("follower");
  });

  it("steps down when no quorum answers", () => {
    const subject = new Subject(voters);
    subject.lead();
    subject.now += 1_201;
    subject.step({ kind: "tick" });
    expect(subject.replica.role).to.equal("follower");
  });

  it("commits entries of earlier terms only with one of its own", () => {
    const subject = new Subject(voters);
    subject.receive("b", append(2, 2));
    subject.lead();
    subject.acknowledge("c", 2);
    expect(subject.replica.commitIndex).to.equal(0);
    subject.acknowledge("c", 3);
    expect(subject.replica.commitIndex).to.equal(3);
  });

  it("answers only when term, vote and entries are synced", () => {
    const subject = new Subject(voters);
    subject.syncs = false;
    subject.now += MINIMUM_MS;
    subject.receive("b", vote(9));
    expect(subject.sent).to.deep.equal([]);
    subject.receive("b", append(9, 2));
    expect(subject.sent).to.deep.equal([]);
    subject.step({ kind: "persisted", sequence: 2 });
    expect(subject.replies("voteReply")).to.have.length(1);
    expect(subject.replies("appendReply")).to.deep.equal([]);
    subject.step({ kind: "persisted", sequence: 3 });
    expect(subject.replies("appendReply")[0]?.matchIndex).to.equal(2);
  });

  it("doesn't count its own entries before they are synced", () => {
    const subject = new Subject(voters);
    subject.lead();
    subject.syncs = false;
    subject.step({ kind: "propose", proposals: [{ id: 1, data: "x" }] });
    subject.acknowledge("b", 3);
    expect(subject.replica.commitIndex).to.equal(2);
    subject.step({ kind: "persisted", sequence: 100 });
    expect(subject.replica.commitIndex).to.equal(3);
  });

  it("bounds what waits for commit and what is on the way", () => {
    const settings = { maxUncommittedEntries: 20, maxInflightAppends: 3 };
    const subject = new Subject(voters, settings);
    subject.lead();
    subject.acknowledge("b", 2);
    let appends = 0;
    for (let id = 0; id < 30; id += 1) {
      subject.step({ kind: "propose", proposals: [{ id, data: "x" }] });
      appends += subject.replies("append").length;
    }
    expect(appends).to.equal(3);
    expect(subject.outcomes[0]).to.include({ reason: "overloaded" });
    expect(subject.replica.lastIndex).to.equal(22);
  });

  it("refuses a command that does not fit into a message", () => {
    const subject = new Subject(voters, { maxProposalCharacters: 3 });
    subject.lead();
    const proposals = [{ id: 1, data: "long" }, { id: 2, data: "fit" }];
    subject.step({ kind: "propose", proposals });
    expect(subject.outcomes.map(({ id, kind }) => [id, kind]))
      .to.deep.equal([[1, "refused"], [2, "appended"]]);
  });

  const change = { kind: "remove", id: "c" } as const;
  const refusals = [
    { name: "before an entry of its term", acknowledged: 0, first: false },
    { name: "while another one is open", acknowledged: 2, first: true },
  ];
  for (const { name, acknowledged, first } of refusals) {
    it(`refuses a change of members ${name}`, () => {
      const subject = new Subject(voters);
      subject.lead();
      subject.acknowledge("b", acknowledged);
      if (first) {
        subject.step({ kind: "changeMembership", id: 1, change });
        expect(subject.outcomes[0]?.kind).to.equal("appended");
      }
      subject.step({ kind: "changeMembership", id: 2, change });
      expect(subject.outcomes[0]).to.include({ reason: "changePending" });
    });
  }

  it("puts the note of a change into its entry", () => {
    const subject = new Subject(voters);
    subject.lead();
    subject.acknowledge("b", 2);
    const noted = { ...change, note: "said" };
    subject.step({ kind: "changeMembership", id: 1, change: noted });
    expect(subject.replies("append")[0]?.entries[0]?.payload)
      .to.include({ kind: "membership", note: "said" });
  });

  it("promotes a learner only when it has caught up", () => {
    const subject = new Subject(voters, { maxPromotionLagEntries: 0 }, ["d"]);
    const promotion = { kind: "promote", id: "d" } as const;
    subject.lead();
    subject.acknowledge("b", 2);
    subject.acknowledge("d", 1);
    subject.step({ kind: "changeMembership", id: 1, change: promotion });
    expect(subject.outcomes[0]).to.include({ reason: "notCaughtUp" });
    subject.acknowledge("d", 2);
    subject.step({ kind: "changeMembership", id: 2, change: promotion });
    expect(subject.outcomes[0]?.kind).to.equal("appended");
  });

  it("isn't disturbed by a replica that it does not know", () => {
    const subject = new Subject(voters);
    subject.lead();
    subject.acknowledge("b", 2);
    const { term } = subject.replica;
    const later = { term: term + 9, sentAt: subject.now };
    subject.receive("x", { kind: "heartbeatReply", ...later });
    subject.receive("x", vote(term + 9));
    expect(subject.replica.role).to.equal("leader");
    expect(subject.replica.term).to.equal(term);
  });
});
