import { expect } from "chai";
import * as state from "../../src/state/mod.ts";
import * as fixtures from "./fixtures.ts";

describe("view of an entry host", () => {
  function createView(): { log: fixtures.TestLog; view: state.FleetViewCache } {
    const log = new fixtures.TestLog();
    log.publish();
    log.apply({
      kind: "grant-key",
      operator: "ann",
      changeId: "c1",
      keyId: "k1",
      digest: fixtures.KEY,
      workspace: "web",
      label: "",
    });
    const view = new state.FleetViewCache();
    view.reset(log.state.view());
    return { log, view };
  }

  it("finds keys by digest until they are withdrawn", () => {
    const { log, view } = createView();
    expect(view.key(fixtures.KEY)?.workspace).to.equal("web");
    const { changes } = log.applyWithChanges({
      kind: "withdraw-key",
      operator: "ann",
      changeId: "c2",
      keyId: "k1",
    });
    view.apply(3, changes);
    expect(view.key(fixtures.KEY)).to.equal(undefined);
  });

  it("ignores views and changes that are not newer", () => {
    const { log, view } = createView();
    const old = log.state.view();
    const { changes } = log.applyWithChanges({
      kind: "withdraw-key",
      operator: "ann",
      changeId: "c2",
      keyId: "k1",
    });
    expect(view.apply(3, changes)).to.equal(true);
    expect(view.reset(old)).to.equal(false);
    expect(view.apply(2, [])).to.equal(false);
    expect(view.key(fixtures.KEY)).to.equal(undefined);
  });

  it("resolves models, adapters, routes and tiers", () => {
    const { catalogue } = createView().view;
    expect(catalogue.resolveModel("advice/size:retail")?.base)
      .to.equal("advice/size");
    expect(catalogue.resolveModel("advice/size:none")).to.equal(undefined);
    expect(catalogue.referencesAllowedTo("staff")).to.deep.equal([]);
    expect(
      catalogue.resolveRoute("orders", "GET", "/items/7")?.route.idempotent,
    )
      .to.equal(true);
    expect(catalogue.resolveRoute("orders", "PUT", "/items")).to.equal(
      undefined,
    );
    expect(catalogue.tier("orders")?.name).to.equal("now");
    expect(catalogue.tier("orders", "none")).to.equal(undefined);
  });
});
