import { expect } from "chai";
import {
  applyConfiguration,
  configurationFor,
  Fixture,
  MAX_AGE_MS,
} from "./request_handling.ts";

describe("a request that a configuration of unknown age allows", () => {
  function createFixture(ageMs: number): Fixture {
    const fixture = new Fixture(4_000);
    applyConfiguration(fixture, configurationFor("h", 1), ageMs);
    return fixture;
  }

  it("is served at once if the configuration is known to be in force", async () => {
    await using fixture = createFixture(0);
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.confirmations).to.equal(0);
  });

  it("is not served by a route that has been dropped meanwhile", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    fixture.onConfirm = () => {
      applyConfiguration(fixture, configurationFor("other", 2), 0);
      return Promise.resolve("current");
    };
    expect(await fixture.fetchStatus()).to.equal(404);
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("is served once the configuration is confirmed", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    fixture.onConfirm = () => {
      applyConfiguration(fixture, configurationFor("h", 1), 0);
      return Promise.resolve("current");
    };
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.confirmations).to.equal(1);
  });

  it("is sent to the service of the newer configuration", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    const next = configurationFor("h", 2);
    fixture.onConfirm = () => {
      applyConfiguration(fixture, {
        ...next,
        routes: next.routes.map((route) => ({
          ...route,
          split: [{ service: "orders", weight: 1 }],
        })),
        services: [{
          name: "orders",
          maxConnections: 8,
          coldRequestsPerSecond: 0,
        }],
      }, 0);
      return Promise.resolve("current");
    };
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.dispatched.map(({ service }) => service.name))
      .to.deep.equal(["orders"]);
  });

  it("is not served by a host that is known to be behind", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    fixture.onConfirm = () => Promise.resolve("behind");
    expect(await fixture.fetchStatus()).to.equal(503);
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("is not served while the control hosts are being asked", async () => {
    await using fixture = new Fixture(300);
    applyConfiguration(fixture, configurationFor("h", 1), 2 * MAX_AGE_MS);
    fixture.onConfirm = () => new Promise(() => undefined);
    expect(await fixture.fetchStatus()).to.equal(503);
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("is served unconfirmed if too few control hosts answer", async () => {
    await using fixture = createFixture(60_000);
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.confirmations).to.equal(1);
    expect(fixture.unconfirmed).to.equal(1);
  });
});
