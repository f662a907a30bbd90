import * as timers from "node:timers/promises";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { readClocks } from "../../src/gateway/entry/clocks.ts";
import {
  applyConfiguration,
  configurationFor,
  Fixture,
  MAX_AGE_MS,
  statusOf,
  WATCH_RESPONSE,
} from "./request_handling.ts";

describe("a request to a host without a configuration", () => {
  it("waits for the first configuration", async () => {
    await using fixture = new Fixture(2_000);
    const request = await fixture.sendRequest();
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    expect(await statusOf(request)).to.equal(200);
  });

  it("is given up at its route's timeout, counted from its arrival", async () => {
    await using fixture = new Fixture(undefined);
    fixture.servesAtOnce = false;
    const startedAt = performance.now();
    const request = await fixture.sendRequest();
    await timers.setTimeout(900);
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    await statusOf(request);
    expect(performance.now() - startedAt).to.be.within(1_990, 2_300);
  });

  it("is refused while its caller has time to try another host", async () => {
    await using fixture = new Fixture(300);
    const startedAt = performance.now();
    const request = await fixture.sendRequest();
    expect(await statusOf(request)).to.equal(503);
    expect(performance.now() - startedAt).to.be.within(145, 280);
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("ends when its caller disconnects", async () => {
    await using fixture = new Fixture(undefined);
    const request = await fixture.sendRequest();
    request.on("error", () => undefined);
    request.destroy();
    await wait.waitFor(
      "the request to end",
      () => fixture.handler.openRequests === 0,
    );
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    expect(fixture.dispatched).to.deep.equal([]);
  });
});

describe("a request that a host reads late", () => {
  // Its caller had given it up and gone to another host.
  it("is not passed on if its caller has left", async () => {
    await using fixture = new Fixture(2_000);
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    fixture.isCallerPresent = false;
    const request = await fixture.sendRequest();
    request.on("error", () => undefined);
    await wait.waitFor(
      "the request to end",
      () => fixture.handler.openRequests === 0,
    );
    expect(fixture.dispatched).to.deep.equal([]);
  });
});

describe("a request to a host that stops", () => {
  it("is answered as not run if it waits for a configuration at the end", async () => {
    await using fixture = new Fixture(undefined);
    const request = await fixture.sendRequest();
    const status = statusOf(request);
    fixture.drain.begin(performance.now() + 50);
    expect(await status).to.equal(503);
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    await wait.waitFor(
      "the request to end",
      () => fixture.handler.openRequests === 0,
    );
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("is ended while it is served", async () => {
    await using fixture = new Fixture(undefined);
    fixture.servesAtOnce = false;
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    const startedAt = performance.now();
    const request = await fixture.sendRequest();
    fixture.drain.begin(startedAt + 200);
    await statusOf(request);
    expect(performance.now() - startedAt).to.be.within(199, 1_000);
  });

  it("is refused at once after the end", async () => {
    await using fixture = new Fixture(undefined);
    fixture.view.apply(WATCH_RESPONSE, performance.now());
    fixture.drain.begin(0);
    await timers.setTimeout(20);
    expect(await fixture.fetchStatus()).to.equal(503);
    expect(fixture.dispatched).to.deep.equal([]);
  });
});

describe("a request to a route with an unusually long timeout", () => {
  it("is not ended before it is served", async () => {
    await using fixture = new Fixture(undefined);
    fixture.servesAtOnce = false;
    const { configuration } = WATCH_RESPONSE;
    if (configuration === undefined) throw new TypeError("none to change");
    const routes = configuration.routes.map((route) => ({
      ...route,
      timeoutMs: 2 ** 32,
    }));
    fixture.view.apply(
      { ...WATCH_RESPONSE, configuration: { ...configuration, routes } },
      performance.now(),
    );
    const request = await fixture.sendRequest();
    request.on("error", () => undefined);
    await timers.setTimeout(50);
    expect(fixture.dispatched.map(({ signal }) => signal.aborted))
      .to.deep.equal([false]);
    request.destroy();
  });
});

describe("a request of a workspace that has used up its rate", () => {
  const TOKENS = 100;
  const RATE = {
    unit: "tokens" as const,
    perSecond: 1_000,
    burst: TOKENS,
    plainTokens: 1,
  };

  /** A handler whose workspace has used its burst and is `debt` tokens over. */
  function createFixture(
    targetMs: number,
    debt: number,
    limitedWorkspaces: string[] = [],
  ): Fixture {
    const fixture = new Fixture(4_000, { key: "k", tokens: TOKENS });
    const { configuration } = WATCH_RESPONSE;
    if (configuration === undefined) throw new TypeError("none to change");
    fixture.view.apply({
      ...WATCH_RESPONSE,
      limitedWorkspaces,
      configuration: {
        ...configuration,
        routes: configuration.routes.map((route) => ({
          ...route,
          targetMs,
          isPublic: false,
        })),
        workspaces: [{ name: "shop", keys: ["k"], rate: RATE }],
      },
    }, performance.now());
    const now = performance.now();
    fixture.rateLimiter.setRate("shop", RATE, now);
    fixture.rateLimiter.charge("shop", TOKENS + debt, now);
    return fixture;
  }

  it("waits for the rate if it is in time then", async () => {
    await using fixture = createFixture(1_000, 0);
    const startedAt = performance.now();
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(performance.now() - startedAt).to.be.within(90, 400);
  });

  it("is refused at once if it is late then", async () => {
    await using fixture = createFixture(1_000, 1_000);
    const startedAt = performance.now();
    expect(await fixture.fetchStatus()).to.equal(429);
    expect(performance.now() - startedAt).to.be.below(90);
    expect(fixture.dispatched).to.deep.equal([]);
  });

  it("is decided by the usage of all hosts", async () => {
    await using fixture = createFixture(1_000, 0, ["shop"]);
    expect(await fixture.fetchStatus()).to.equal(200);
    // Once on arrival and once after the wait.
    expect(fixture.refreshes).to.be.at.least(2);
  });

  // The other hosts admitted requests by a usage that lacked this host's last one.
  it("is told of at once when it is admitted near the rate", async () => {
    await using fixture = createFixture(1_000, 0, ["shop"]);
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.limitedAdmissions).to.equal(1);
    await using refused = createFixture(1_000, 1_000, ["shop"]);
    expect(await refused.fetchStatus()).to.equal(429);
    expect(refused.limitedAdmissions).to.equal(0);
    await using unlimited = createFixture(1_000, 0);
    expect(await unlimited.fetchStatus()).to.equal(200);
    expect(unlimited.limitedAdmissions).to.equal(0);
  });

  it("ends its wait when the caller disconnects", async () => {
    await using fixture = createFixture(4_000, 800);
    const request = await fixture.sendRequest();
    request.on("error", () => undefined);
    request.destroy();
    await wait.waitFor(
      "the request to end",
      () => fixture.handler.openRequests === 0,
    );
    expect(fixture.dispatched).to.deep.equal([]);
  });
});

describe("a request at a host that does not know the usage of other hosts", () => {
  const TOKENS = 100;
  const RATE = {
    unit: "tokens" as const,
    perSecond: 1_000,
    burst: 10 * TOKENS,
    plainTokens: 1,
  };

  /** A handler whose usage is older than a host may use, in a fleet of hosts. */
  function createFixture(hostCount: number): Fixture {
    const fixture = new Fixture(4_000, { key: "k", tokens: TOKENS });
    const { configuration } = WATCH_RESPONSE;
    if (configuration === undefined) throw new TypeError("none to change");
    fixture.view.apply({
      ...WATCH_RESPONSE,
      configuration: {
        ...configuration,
        routes: configuration.routes.map((route) => ({
          ...route,
          isPublic: false,
        })),
        workspaces: [{ name: "shop", keys: ["k"], rate: RATE }],
      },
    }, performance.now());
    const now = performance.now();
    fixture.rateLimiter.setRate("shop", RATE, now);
    fixture.rateLimiter.setHostCount(hostCount);
    fixture.rateLimiter.applyRemoteUsage(1, [], now);
    fixture.usageAgeMs = 2_000;
    return fixture;
  }

  it("is served at once within this host's part of the rate", async () => {
    await using fixture = createFixture(2);
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.refreshes).to.equal(0);
  });

  it("is served beyond that part when the leader tells the usage", async () => {
    await using fixture = createFixture(1e9);
    fixture.onRefresh = () => fixture.usageAgeMs = 0;
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.refreshes).to.equal(1);
  });

  // It was refused at once, although it was within the rate.
  it("waits for a leader a part of its time", async () => {
    await using fixture = createFixture(1e9);
    fixture.onRefresh = () => {
      if (fixture.refreshes === 4) fixture.usageAgeMs = 0;
    };
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.refreshes).to.equal(4);
  });

  it("is refused beyond that part while no leader answers", async () => {
    await using fixture = createFixture(1e9);
    expect(await fixture.fetchStatus()).to.equal(429);
    expect(fixture.dispatched).to.deep.equal([]);
  });
});

describe("a request that the configuration of a host does not allow", () => {
  function createFixture(ageMs: number): Fixture {
    const fixture = new Fixture(4_000);
    applyConfiguration(fixture, configurationFor("other", 1), ageMs);
    return fixture;
  }

  it("is refused at once if the configuration is known to be in force", async () => {
    await using fixture = createFixture(0);
    expect(await fixture.fetchStatus()).to.equal(404);
    expect(fixture.confirmations).to.equal(0);
  });

  it("is served if a newer one allows it", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    fixture.onConfirm = () => {
      applyConfiguration(fixture, configurationFor("h", 2), 0);
      return Promise.resolve("current");
    };
    expect(await fixture.fetchStatus()).to.equal(200);
    expect(fixture.dispatched).to.have.length(1);
  });

  it("is refused if the configuration is confirmed", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    fixture.onConfirm = () => {
      applyConfiguration(fixture, configurationFor("other", 1), 0);
      return Promise.resolve("current");
    };
    expect(await fixture.fetchStatus()).to.equal(404);
    expect(fixture.confirmations).to.equal(1);
  });

  it("is sent to another host if too few control hosts answer", async () => {
    await using fixture = createFixture(2 * MAX_AGE_MS);
    expect(await fixture.fetchStatus()).to.equal(503);
  });

  it("leaves its caller the time to try another host", async () => {
    await using fixture = new Fixture(300);
    applyConfiguration(
      fixture,
      configurationFor("other", 1),
      2 * MAX_AGE_MS,
    );
    fixture.onConfirm = () => new Promise(() => undefined);
    const startedAt = performance.now();
    expect(await fixture.fetchStatus()).to.equal(503);
    expect(performance.now() - startedAt).to.be.within(145, 280);
  });

  it("is not refused by a configuration from before a suspension", async () => {
    await using fixture = new Fixture(4_000);
    const { monotonicMs, wallMs } = readClocks();
    fixture.view.apply(
      {
        ...WATCH_RESPONSE,
        heldMs: 0,
        configuration: configurationFor("other", 1),
      },
      performance.now(),
      { monotonicMs, wallMs: wallMs - 5_000 },
    );
    expect(await fixture.fetchStatus()).to.equal(503);
  });
});
