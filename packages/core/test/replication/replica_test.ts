import { expect } from "chai";
import * as replication from "../../src/replication/mod.ts";

type Send = Extract<replication.Effect, { kind: "send" }>;

const START_MS = 10_000;
const MIN_ELECTION_TIMEOUT_MS =
  replication.DEFAULT_SETTINGS.electionTimeoutMinimumMs;
const LEASE_MS = MIN_ELECTION_TIMEOUT_MS *
  (1 - replication.DEFAULT_SETTINGS.leaseMargin);

function members(...ids: string[]): replication.Member[] {
  return ids.map((id) => ({ id, address: id }));
}

/**
 * Test driver for one replica; unless `syncsImmediately` is false, each disk
 * write is synced at once.
 */
class ReplicaHarness {
  readonly replica: replication.Replica;
  now = START_MS;
  syncsImmediately = true;
  sent: Send[] = [];
  outcomes: replication.Outcome[] = [];

  constructor(
    voters: string[],
    settings: Partial<replication.Settings> = {},
    learners: string[] = [],
  ) {
    const bootstrap = replication.bootstrapState({
      voters: members(...voters),
      learners: members(...learners),
    });
    this.replica = new replication.Replica({
      self: "a",
      ...bootstrap,
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
      } else if (effect.kind === "persist" && this.syncsImmediately) {
        const { sequence } = effect;
        const input = { kind: "persisted", sequence } as const;
        effects.push(...this.replica.step(input, this.now));
      }
    }
  }

  receive(from: string, message: replication.Message): void {
    this.step({ kind: "message", from, message });
  }

  sentMessages<K extends replication.Message["kind"]>(kind: K) {
    type SentMessage = Extract<replication.Message, { kind: K }>;
    return this.sent.map(({ message }) => message)
      .filter((message): message is SentMessage => message.kind === kind);
  }

  /**
   * Wins an election with the vote of `b`, before any append is acknowledged.
   */
  becomeLeader(): void {
    this.now += MIN_ELECTION_TIMEOUT_MS;
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

  it("refuses votes for one election timeout after a start or contact with a leader", () => {
    const harness = new ReplicaHarness(voters);
    const granted = (message: replication.Message) => {
      harness.receive("c", message);
      return harness.sentMessages("voteReply")[0]?.granted;
    };
    harness.now += MIN_ELECTION_TIMEOUT_MS - 1;
    expect(granted(vote(5))).to.equal(false);
    harness.receive("b", append(5, 2));
    harness.now += MIN_ELECTION_TIMEOUT_MS - 1;
    expect(granted(vote(6))).to.equal(false);
    expect(harness.replica.term).to.equal(5);
    expect(granted(vote(6, true))).to.equal(true);
    harness.now += 1;
    expect(granted(vote(7))).to.equal(true);
  });

  describe("probes for a leader after a start, and", () => {
    const MAX_PROBE_INTERVAL_MS = replication.DEFAULT_SETTINGS.probeMaximumMs;

    function startProbing(): ReplicaHarness {
      const harness = new ReplicaHarness(voters);
      harness.now += MAX_PROBE_INTERVAL_MS;
      harness.step({ kind: "tick" });
      expect(harness.sentMessages("preVote")).to.have.length(2);
      return harness;
    }

    function preVoteReply(
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
      {
        name: "asks for votes if no voter leads",
        fieldsOfC: {},
        role: "candidate",
      },
      {
        name:
          "asks for votes if one voter has a longer log but a quorum does not",
        fieldsOfC: { isUpToDate: false },
        role: "candidate",
      },
      {
        name: "waits if a voter is leader or candidate",
        fieldsOfC: { isFree: false },
        role: "preCandidate",
      },
      {
        name: "waits if a voter is of an earlier term",
        fieldsOfC: { term: 0 },
        role: "preCandidate",
      },
    ];
    for (const { name, fieldsOfC, role } of cases) {
      it(name, () => {
        const harness = startProbing();
        harness.receive("b", preVoteReply({}));
        expect(harness.replica.role).to.equal("preCandidate");
        harness.receive("c", preVoteReply(fieldsOfC));
        expect(harness.replica.role).to.equal(role);
        if (role !== "candidate") return;
        expect(harness.sentMessages("vote").map(({ transfer }) => transfer))
          .to.deep.equal([true, true]);
      });
    }

    it("waits if too many voters have longer logs", () => {
      const harness = startProbing();
      harness.receive("b", preVoteReply({ isUpToDate: false }));
      harness.receive("c", preVoteReply({ isUpToDate: false }));
      expect(harness.replica.role).to.equal("preCandidate");
    });

    it("does not count its own vote while it may be bound to a leader", () => {
      const harness = startProbing();
      harness.receive("b", preVoteReply({ granted: true }));
      expect(harness.replica.role).to.equal("preCandidate");
    });

    it("does not probe again after contact with a leader", () => {
      const harness = startProbing();
      harness.receive("b", append(1, 2));
      harness.now += MAX_PROBE_INTERVAL_MS;
      harness.step({ kind: "tick" });
      expect(harness.replica.role).to.equal("follower");
    });
  });

  it("holds a lease from the send time of the answered heartbeat", () => {
    const harness = new ReplicaHarness(voters);
    harness.becomeLeader();
    expect(harness.replica.leaseUntil).to.equal(-Infinity);
    const sentAt = harness.now;
    harness.now += 300;
    harness.acknowledge("b", 2, sentAt);
    expect(harness.replica.leaseUntil).to.equal(sentAt + LEASE_MS);
    expect(harness.replica.hasLease(sentAt + LEASE_MS - 1)).to.equal(true);
    expect(harness.replica.hasLease(sentAt + LEASE_MS)).to.equal(false);
  });

  it("gives up its lease permanently when it transfers leadership", () => {
    const harness = new ReplicaHarness(voters);
    harness.becomeLeader();
    harness.acknowledge("b", 2);
    harness.step({ kind: "transferLeadership", to: "b" });
    expect(harness.sentMessages("timeoutNow")).to.have.length(1);
    harness.acknowledge("c", 2);
    expect(harness.replica.hasLease(harness.now)).to.equal(false);
    harness.now += 1_200;
    harness.step({ kind: "tick" });
    expect(harness.replica.role).to.equal("follower");
  });

  describe("whose disk is full", () => {
    function leaderWithFullDisk(): ReplicaHarness {
      const harness = new ReplicaHarness(voters);
      harness.becomeLeader();
      harness.acknowledge("b", 2);
      harness.acknowledge("c", 2);
      harness.syncsImmediately = false;
      harness.step({ kind: "propose", proposals: [{ id: 1, data: "x" }] });
      harness.step({ kind: "diskSpace", hasSpace: false });
      return harness;
    }

    it("hands its leadership to a voter that holds its entries", () => {
      const harness = leaderWithFullDisk();
      expect(harness.sentMessages("timeoutNow")).to.deep.equal([]);
      harness.acknowledge("c", 3);
      expect(harness.sent.map(({ to, message }) => [to, message.kind]))
        .to.deep.equal([["c", "timeoutNow"]]);
      expect(harness.replica.hasLease(harness.now)).to.equal(false);
    });

    it("steps down if no voter takes over within 300 ms", () => {
      const harness = leaderWithFullDisk();
      harness.now += 300;
      harness.step({ kind: "tick" });
      expect(harness.replica.role).to.equal("follower");
    });

    it("steps down at once if no voter has answered", () => {
      const harness = new ReplicaHarness(voters);
      harness.becomeLeader();
      harness.step({ kind: "diskSpace", hasSpace: false });
      expect(harness.replica.role).to.equal("follower");
    });

    it("does not campaign until it has space", () => {
      const harness = leaderWithFullDisk();
      harness.now += 300;
      harness.step({ kind: "tick" });
      harness.now += 10 * MIN_ELECTION_TIMEOUT_MS;
      harness.step({ kind: "tick" });
      expect(harness.sent).to.deep.equal([]);
      const { term } = harness.replica;
      harness.receive("b", { kind: "timeoutNow", term });
      expect(harness.sent).to.deep.equal([]);
      harness.step({ kind: "diskSpace", hasSpace: true });
      harness.step({ kind: "tick" });
      expect(harness.sentMessages("preVote")).to.have.length(2);
    });

    it("answers heartbeats and acknowledges nothing that is not synced", () => {
      const harness = new ReplicaHarness(voters);
      harness.syncsImmediately = false;
      harness.receive("b", append(1, 2));
      harness.step({ kind: "diskSpace", hasSpace: false });
      harness.receive("b", { ...append(1, 3), entries: [] });
      const replies = harness.sentMessages("appendReply");
      expect(replies.map(({ matchIndex }) => matchIndex)).to.deep.equal([1]);
    });

    it("keeps a bounded number of answers that wait for its disk", () => {
      const harness = new ReplicaHarness(voters);
      harness.syncsImmediately = false;
      harness.now += MIN_ELECTION_TIMEOUT_MS;
      harness.receive("b", vote(9));
      for (let count = 0; count < 10_000; count += 1) {
        harness.receive("b", { ...append(9, 2), entries: [] });
      }
      harness.step({ kind: "persisted", sequence: 100 });
      expect(harness.sent).to.have.length(1_000);
    });

    it("leads on if it is the only voter", () => {
      const harness = new ReplicaHarness(["a"]);
      harness.step({ kind: "tick" });
      harness.syncsImmediately = false;
      harness.step({ kind: "diskSpace", hasSpace: false });
      harness.now += 5_000;
      harness.step({ kind: "tick" });
      expect(harness.replica.role).to.equal("leader");
    });
  });

  it("steps down when no quorum answers", () => {
    const harness = new ReplicaHarness(voters);
    harness.becomeLeader();
    harness.now += 1_201;
    harness.step({ kind: "tick" });
    expect(harness.replica.role).to.equal("follower");
  });

  it("commits entries of earlier terms only together with one of its own term", () => {
    const harness = new ReplicaHarness(voters);
    harness.receive("b", append(2, 2));
    harness.becomeLeader();
    harness.acknowledge("c", 2);
    expect(harness.replica.commitIndex).to.equal(0);
    harness.acknowledge("c", 3);
    expect(harness.replica.commitIndex).to.equal(3);
  });

  it("replies only when term, vote and entries are synced", () => {
    const harness = new ReplicaHarness(voters);
    harness.syncsImmediately = false;
    harness.now += MIN_ELECTION_TIMEOUT_MS;
    harness.receive("b", vote(9));
    expect(harness.sent).to.deep.equal([]);
    harness.receive("b", append(9, 2));
    expect(harness.sent).to.deep.equal([]);
    harness.step({ kind: "persisted", sequence: 2 });
    expect(harness.sentMessages("voteReply")).to.have.length(1);
    expect(harness.sentMessages("appendReply")).to.deep.equal([]);
    harness.step({ kind: "persisted", sequence: 3 });
    expect(harness.sentMessages("appendReply")[0]?.matchIndex).to.equal(2);
  });

  it("doesn't count its own entries before they are synced", () => {
    const harness = new ReplicaHarness(voters);
    harness.becomeLeader();
    harness.syncsImmediately = false;
    harness.step({ kind: "propose", proposals: [{ id: 1, data: "x" }] });
    harness.acknowledge("b", 3);
    expect(harness.replica.commitIndex).to.equal(2);
    harness.step({ kind: "persisted", sequence: 100 });
    expect(harness.replica.commitIndex).to.equal(3);
  });

  it("limits uncommitted entries and unacknowledged appends", () => {
    const settings = { maxUncommittedEntries: 20, maxInflightAppends: 3 };
    const harness = new ReplicaHarness(voters, settings);
    harness.becomeLeader();
    harness.acknowledge("b", 2);
    let appends = 0;
    for (let id = 0; id < 30; id += 1) {
      harness.step({ kind: "propose", proposals: [{ id, data: "x" }] });
      appends += harness.sentMessages("append").length;
    }
    expect(appends).to.equal(3);
    expect(harness.outcomes[0]).to.include({ reason: "overloaded" });
    expect(harness.replica.lastIndex).to.equal(22);
  });

  it("refuses a command that does not fit into a message", () => {
    const harness = new ReplicaHarness(voters, { maxProposalCharacters: 3 });
    harness.becomeLeader();
    const proposals = [{ id: 1, data: "long" }, { id: 2, data: "fit" }];
    harness.step({ kind: "propose", proposals });
    expect(harness.outcomes.map(({ id, kind }) => [id, kind]))
      .to.deep.equal([[1, "refused"], [2, "appended"]]);
  });

  const change = { kind: "remove", id: "c" } as const;
  const refusals = [
    {
      name: "before an entry of its term is committed",
      acknowledged: 0,
      hasPendingChange: false,
    },
    {
      name: "while another one is uncommitted",
      acknowledged: 2,
      hasPendingChange: true,
    },
  ];
  for (const { name, acknowledged, hasPendingChange } of refusals) {
    it(`refuses a membership change ${name}`, () => {
      const harness = new ReplicaHarness(voters);
      harness.becomeLeader();
      harness.acknowledge("b", acknowledged);
      if (hasPendingChange) {
        harness.step({ kind: "changeMembership", id: 1, change });
        expect(harness.outcomes[0]?.kind).to.equal("appended");
      }
      harness.step({ kind: "changeMembership", id: 2, change });
      expect(harness.outcomes[0]).to.include({ reason: "changePending" });
    });
  }

  it("puts the note of a change into its entry", () => {
    const harness = new ReplicaHarness(voters);
    harness.becomeLeader();
    harness.acknowledge("b", 2);
    const changeWithNote = { ...change, note: "said" };
    harness.step({ kind: "changeMembership", id: 1, change: changeWithNote });
    expect(harness.sentMessages("append")[0]?.entries[0]?.payload)
      .to.include({ kind: "membership", note: "said" });
  });

  it("promotes a learner only when it has caught up", () => {
    const harness = new ReplicaHarness(voters, { maxPromotionLagEntries: 0 }, [
      "d",
    ]);
    const promotion = { kind: "promote", id: "d" } as const;
    harness.becomeLeader();
    harness.acknowledge("b", 2);
    harness.acknowledge("d", 1);
    harness.step({ kind: "changeMembership", id: 1, change: promotion });
    expect(harness.outcomes[0]).to.include({ reason: "notCaughtUp" });
    harness.acknowledge("d", 2);
    harness.step({ kind: "changeMembership", id: 2, change: promotion });
    expect(harness.outcomes[0]?.kind).to.equal("appended");
  });

  it("ignores the later term of a replica that is not a member", () => {
    const harness = new ReplicaHarness(voters);
    harness.becomeLeader();
    harness.acknowledge("b", 2);
    const { term } = harness.replica;
    const laterTerm = { term: term + 9, sentAt: harness.now };
    harness.receive("x", { kind: "heartbeatReply", ...laterTerm });
    harness.receive("x", vote(term + 9));
    expect(harness.replica.role).to.equal("leader");
    expect(harness.replica.term).to.equal(term);
  });
});

describe("entries that stay in memory after a snapshot", () => {
  const ENTRY_CHARACTERS = 200_000;

  /** Proposes commands and takes a snapshot of them; returns the harness. */
  function snapshotAfter(
    count: number,
    characters: number,
    settings: Partial<replication.Settings>,
  ): ReplicaHarness {
    const harness = new ReplicaHarness(["a"], settings);
    harness.now += MIN_ELECTION_TIMEOUT_MS;
    harness.step({ kind: "tick" });
    for (let id = 0; id < count; id += 1) {
      const data = String(id).padEnd(characters, "x");
      harness.step({ kind: "propose", proposals: [{ id, data }] });
    }
    const { replica } = harness;
    const index = replica.appliedIndex;
    expect(index).to.be.at.least(count);
    const term = replica.termAt(index) ?? 0;
    const membership = replica.membershipAt(index);
    const snapshot = { index, term, membership, bytes: characters };
    harness.step({ kind: "snapshotTaken", snapshot });
    return harness;
  }

  /** Number of entries whose term is known, except for that of the base. */
  function keptEntries({ replica }: ReplicaHarness): number {
    const all = Array.from({ length: replica.lastIndex }, (_, at) => at + 1);
    return all.filter((index) => replica.termAt(index) !== null).length - 1;
  }

  // Processes ran out of memory after some hundred large commands.
  it("are bounded by their size", () => {
    const retainedBytes = 10 * ENTRY_CHARACTERS;
    const harness = snapshotAfter(60, ENTRY_CHARACTERS, { retainedBytes });
    expect(keptEntries(harness)).to.be.within(8, 10);
  });

  it("are none if a single one exceeds the size", () => {
    const retainedBytes = ENTRY_CHARACTERS / 2;
    const harness = snapshotAfter(5, ENTRY_CHARACTERS, { retainedBytes });
    expect(keptEntries(harness)).to.equal(0);
    harness.step({ kind: "propose", proposals: [{ id: 9, data: "next" }] });
    expect(harness.replica.appliedIndex).to.equal(harness.replica.lastIndex);
  });

  it("are bounded by their number", () => {
    const harness = snapshotAfter(60, 10, { retainedEntries: 20 });
    expect(keptEntries(harness)).to.equal(20);
  });
});
