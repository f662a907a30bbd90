import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as changeCommitter from "../../src/gateway/control/change_committer.ts";

const WITHDRAW = { kind: "withdraw-domain", domain: "a" } as const;
const RESTORE = { kind: "restore-domain", domain: "a" } as const;
const FINGERPRINT = "00112233445566778899aabbccddeeff";

describe("a change committer", () => {
  let state: core.gateway.GatewayState;
  let index: number;
  let commit: (command: gateway.Command) => Promise<unknown>;
  let committer: changeCommitter.ChangeCommitter;

  beforeEach(() => {
    state = new core.gateway.GatewayState();
    index = 10;
    commit = (command) => {
      index += 1;
      state.apply(command, index);
      return Promise.resolve();
    };
    committer = new changeCommitter.ChangeCommitter({
      state: () => state,
      commit: (command) => commit(command),
    });
  });

  async function change(
    change: gateway.ReversibleChange,
    basis: number | null = state.revisionFor(change),
  ): Promise<string> {
    return (await committer.commit({ change, basis })).kind;
  }

  // A late order undid a later one that had been acknowledged.
  it("rejects a change that a later one has overtaken", async () => {
    await change(WITHDRAW);
    const basis = state.revisionFor(RESTORE);
    await change(RESTORE);
    await change(WITHDRAW);
    expect(await change(RESTORE, basis)).to.equal("superseded");
    expect(state.withdrawnDomains).to.deep.equal(["a"]);
  });

  it("rejects a change for which the state was not known", async () => {
    expect(await change(WITHDRAW, null)).to.equal("superseded");
    expect(state.withdrawnDomains).to.deep.equal([]);
  });

  it("tells the revision with which an overtaken change can be repeated", async () => {
    await change(WITHDRAW);
    const answer = await committer.commit({ change: RESTORE, basis: 0 });
    if (answer.kind !== "superseded") return expect.fail("committed");
    expect(await change(RESTORE, answer.revision)).to.equal("committed");
    expect(state.withdrawnDomains).to.deep.equal([]);
  });

  // While a change is under way the state is still the earlier one.
  it("judges a change only when the one before it is applied", async () => {
    const apply = commit;
    commit = (command) => timers.setTimeout(5).then(() => apply(command));
    const results = Promise.all([change(WITHDRAW), change(RESTORE)]);
    expect(await results).to.deep.equal(["committed", "superseded"]);
    expect(state.withdrawnDomains).to.deep.equal(["a"]);
  });

  it("goes on after a change that could not be committed", async () => {
    const apply = commit;
    commit = () => {
      commit = apply;
      return Promise.reject(new Error("no quorum"));
    };
    const [first, second] = await Promise.allSettled([
      change(WITHDRAW),
      change(WITHDRAW),
    ]);
    expect(first.status).to.equal("rejected");
    expect(second).to.include({ value: "committed" });
  });

  it("releases only the quarantine that its caller knew", async () => {
    const release = {
      kind: "release-quarantine",
      fingerprint: FINGERPRINT,
    } as const;
    const quarantine = {
      kind: "quarantine",
      fingerprint: FINGERPRINT,
      workspace: "t1",
      model: "desk",
    } as const;
    state.apply({ ...quarantine, untilMs: 1_000 });
    const basis = state.revisionFor(release);
    state.apply({ ...quarantine, untilMs: 9_000 });
    expect(await change(release, basis)).to.equal("superseded");
    expect(state.quarantines).to.have.length(1);
  });

  it("keeps the revision of failure domains in snapshots", async () => {
    await change(WITHDRAW);
    const restored = core.gateway.GatewayState.fromSnapshot(state.toSnapshot());
    expect(restored.revisionFor(RESTORE)).to.equal(state.revisionFor(RESTORE));
  });
});
