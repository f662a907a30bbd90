import { expect } from "chai";
import * as fc from "fast-check";
import type * as protocol from "@ebonypath/protocol";
import * as state from "../../src/state/mod.ts";
import * as fixtures from "./fixtures.ts";

type Command = protocol.state.Command;

const SEED = 20_261_204;
const HOSTS = [fixtures.OWNER, fixtures.OTHER_OWNER];
const DIGESTS = ["1", "2", "3"].map((digit) => digit.repeat(64));

function command(): fc.Arbitrary<Command> {
  const owner = fc.constantFrom(...HOSTS);
  const digest = fc.constantFrom(...DIGESTS);
  const number = fc.integer({ min: 0, max: 60 });
  const change = fc.record({
    operator: fc.constantFrom("ann", "bo"),
    changeId: fc.constantFrom("c1", "c2", "c3", "c4", "c5", "c6"),
  });
  return fc.tuple(
    fc.integer({ min: 0, max: 18 }),
    owner,
    digest,
    number,
    change,
  )
    .map(([choice, host, id, index, changeFields]): Command => {
      const workspace = "web";
      const key = id;
      const answer = fixtures.ANSWER;
      const keyId = `k${index % 5}`;
      const failureDomain = `d${index % 3}`;
      const kinds: Command[] = [
        {
          kind: "publish",
          ...changeFields,
          base: index,
          configuration: fixtures.CONFIGURATION,
        },
        {
          kind: "grant-key",
          ...changeFields,
          keyId,
          digest: id,
          workspace,
          label: "",
        },
        { kind: "withdraw-key", ...changeFields, keyId },
        { kind: "withdraw-failure-domain", ...changeFields, failureDomain },
        { kind: "restore-failure-domain", ...changeFields, failureDomain },
        { kind: "release-quarantine", ...changeFields, fingerprint: id },
        {
          kind: "quarantine",
          fingerprint: id,
          workspace,
          model: "m",
          durationMs: 50,
        },
        {
          kind: "decide-replica",
          server: `s${index % 4}`,
          incarnation: "i",
          failureDomain,
          model: "advice/size",
          version: "1",
          bytes: 1,
          kvBytes: 1,
        },
        { kind: "decide-unload", replica: index },
        { kind: "forget-replica", replica: index, reason: "unloaded" },
        {
          kind: "open-claim",
          workspace,
          key,
          request: id,
          attempt: keyId,
          ...host,
        },
        { kind: "close-claim", workspace, key, answer, ...host },
        { kind: "release-claim", workspace, key, ...host },
        {
          ...fixtures.accept(keyId.replace("k", "a"), index % 2 === 0),
          maxWaitMs: 40,
        },
        {
          kind: "assign-deferred",
          ids: [fixtures.accept("a1").id, fixtures.accept("a2").id],
          ...host,
        },
        {
          kind: "finish-deferred",
          id: fixtures.accept(keyId.replace("k", "a")).id,
          answer,
          ...host,
        },
        { kind: "lose-host", host: host.host, hostIncarnation: keyId },
        { kind: "advance-time" },
        {
          kind: "set-grantable",
          buckets: index % 5 === 0 ? [workspace] : [],
          servers: [`engine-${index % 3}/a`],
          isGrantable: index % 2 === 0,
        },
      ];
      return kinds[choice] ?? { kind: "advance-time" };
    });
}

describe("replicated state", () => {
  it(`is the same after a snapshot and replay (seed ${SEED})`, () => {
    const entry = fc.record({
      timeMs: fc.integer({ min: 0, max: 400 }),
      command: command(),
    });
    const log = fc.array(entry, { minLength: 1, maxLength: 120 });
    fc.assert(
      fc.property(log, fc.nat(), (entries, cutAt) => {
        const first: protocol.state.TimestampedCommand = {
          timeMs: 0,
          command: {
            kind: "publish",
            operator: "ann",
            changeId: "c0",
            base: 0,
            configuration: fixtures.CONFIGURATION,
          },
        };
        const all = [first, ...entries];
        const cut = cutAt % all.length;
        const whole = new state.StateMachine();
        let resumed = new state.StateMachine();
        const view = new state.FleetViewCache();
        all.forEach((stamped, i) => {
          if (i === cut) {
            resumed = state.StateMachine.fromSnapshot(resumed.toSnapshot());
          }
          const expected = whole.apply(i + 1, stamped);
          expect(resumed.apply(i + 1, stamped)).to.deep.equal(expected);
          view.apply(i + 1, expected.changes);
        });
        expect(resumed.toSnapshot()).to.equal(whole.toSnapshot());
        expect(normalize(view.toFleetView())).to.deep.equal(
          normalize(whole.view()),
        );
        const trail = state.verifyAuditTrail(whole.auditEntries(0, 1_000));
        expect(trail.kind).to.equal("valid");
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it("returns the first result to a resent change", () => {
    const log = new fixtures.TestLog();
    const first = log.publish("c1");
    log.publish("c2", 1);
    expect(log.publish("c1")).to.deep.equal(first);
    expect(log.state.auditEntries(0, 10)).to.have.length(2);
    const reused = log.apply({
      kind: "withdraw-key",
      operator: "ann",
      changeId: "c1",
      keyId: "k",
    });
    expect(reused.kind).to.equal("invalid");
  });

  it("returns the first result to a resent change of members", () => {
    const log = new fixtures.TestLog();
    const note = {
      kind: "note-membership",
      operator: "ann",
      changeId: "c1",
      detail: "remove h1",
    } as const;
    const refusal = { kind: "not-found", reason: "no member h1" } as const;
    expect(log.state.earlierResult(note)).to.equal(undefined);
    expect(log.apply({ ...note, refusal })).to.deep.equal(refusal);
    log.restoreFromSnapshot();
    expect(log.state.earlierResult(note)).to.deep.equal(refusal);
    expect(log.apply(note)).to.deep.equal(refusal);
    expect(log.state.auditEntries(0, 10)).to.deep.equal([]);
    const other = { ...note, detail: "remove h2" };
    expect(log.state.earlierResult(other)?.kind).to.equal("invalid");
  });

  it("tells a conflicting publisher which version won", () => {
    const log = new fixtures.TestLog();
    log.publish("c1");
    expect(log.publish("c2")).to.deep.equal({
      kind: "version-conflict",
      version: 1,
      operator: "ann",
      timeMs: 1_000,
    });
  });

  it("keeps the newest versions for rollback", () => {
    const log = new fixtures.TestLog({ versions: 2 });
    for (let base = 0; base < 3; base++) log.publish(`c${base}`, base);
    expect(log.state.versions().map(({ version }) => version))
      .to.deep.equal([2, 3]);
    expect(log.state.findVersion(1)).to.equal(undefined);
  });

  describe("a configuration with an unknown workspace", () => {
    const reason =
      'advice: service.workspaces names the unknown workspace "web"';
    const withoutVerdict: Extract<Command, { kind: "publish" }> = {
      kind: "publish",
      operator: "ann",
      changeId: "c1",
      base: 0,
      configuration: {
        ...fixtures.CONFIGURATION,
        workspaces: fixtures.CONFIGURATION.workspaces.slice(1),
      },
    };
    const cases = [
      {
        title: "with the verdict of this build",
        command: state.addVerdict(withoutVerdict),
      },
      { title: "from a build that added no verdict", command: withoutVerdict },
    ];
    for (const { title, command } of cases) {
      it(`is refused, ${title}`, () => {
        const log = new fixtures.TestLog();
        expect(log.apply(command)).to.deep.equal({ kind: "invalid", reason });
        expect(log.state.currentVersion().version).to.equal(0);
      });
    }

    it("follows the verdict in the entry, not that of this build", () => {
      const log = new fixtures.TestLog();
      const verdict = { kind: "sound" } as const;
      expect(log.apply({ ...withoutVerdict, verdict }).kind).to.equal("done");
      const flawed = { kind: "flawed", reason: "newer rule" } as const;
      const other = {
        ...withoutVerdict,
        changeId: "c2",
        base: 1,
        verdict: flawed,
      };
      expect(log.apply(other))
        .to.deep.equal({ kind: "invalid", reason: "newer rule" });
    });

    it("gives a resend the first result under a leader of another build", () => {
      const log = new fixtures.TestLog();
      const first = log.apply(state.addVerdict(withoutVerdict));
      const verdict = { kind: "sound" } as const;
      expect(log.apply({ ...withoutVerdict, verdict })).to.deep.equal(first);
    });

    it("is validated again if it comes with a verdict", () => {
      const verdict = { kind: "sound" } as const;
      expect(state.addVerdict({ ...withoutVerdict, verdict }))
        .to.deep.include({ verdict: { kind: "flawed", reason } });
    });
  });

  it("keeps log time from decreasing", () => {
    const log = new fixtures.TestLog();
    log.advanceTime(1_000);
    log.advanceTime(-1_500);
    expect(log.state.timeMs).to.equal(2_000);
  });

  it("detects each kind of tampering with the audit trail", () => {
    const log = new fixtures.TestLog();
    for (let base = 0; base < 4; base++) log.publish(`c${base}`, base);
    const trail = log.state.auditEntries(0, 10);
    const altered = trail.with(1, { ...itemAt(trail, 1), operator: "eve" });
    const cases = [
      altered,
      trail.toSpliced(1, 1),
      [itemAt(trail, 1), itemAt(trail, 0), itemAt(trail, 2)],
    ];
    expect(state.verifyAuditTrail(trail).kind).to.equal("valid");
    for (const entries of cases) {
      expect(state.verifyAuditTrail(entries).kind).to.equal("broken");
    }
    const truncated = trail.slice(1);
    expect(state.verifyAuditTrail(truncated, state.GENESIS_DIGEST).kind)
      .to.equal("broken");
  });
});

function itemAt<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined) throw new Error(`no item ${index}`);
  return item;
}

function normalize(view: protocol.state.FleetView): unknown {
  const text = (item: unknown) => JSON.stringify(item);
  return {
    version: view.version,
    configuration: view.configuration,
    keys: view.keys.map(text).sort(),
    domains: view.withdrawnFailureDomains.toSorted(),
    quarantines: view.quarantines.map(text).sort(),
  };
}
