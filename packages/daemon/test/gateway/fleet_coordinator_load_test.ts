import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import type * as fleetCoordinator from "../../src/gateway/control/fleet_coordinator.ts";
import * as coordinating from "./coordinating.ts";
import * as fixtures from "./fixtures.ts";

/** Sizes of fleets, in entry hosts and servers. */
const FLEETS = [[87, 67], [200, 150]] as const;
/** Hosts that a leader without servers may ask for all that they know. */
const MAX_ASKED_HOSTS = 3;
/** Time after which hosts have reported what the leader lacks, in ms. */
const REPORT_MS = 1_700;
/** Duration of a series of changes, in milliseconds. */
const CHANGES_MS = 2_000;
/** Time within which copies are told of streams, in milliseconds. */
const MAX_COPY_DELAY_MS = 50;
/** Responses to watches that take half of a leader's time, at 1 ms each. */
const MAX_RESPONSES_PER_SECOND = 500;

function heartbeat(
  index: number,
  overrides: Partial<gateway.Heartbeat> = {},
): gateway.Heartbeat {
  const address = `10.0.${Math.floor(index / 250)}.${index % 250 + 1}:80`;
  return fixtures.heartbeat(`s${index}`, { address, ...overrides });
}

function beat(
  leader: fleetCoordinator.FleetCoordinator,
  one: gateway.Heartbeat,
): void {
  leader.handleHeartbeat({ kind: "heartbeat", heartbeat: one });
}

async function haveServers(
  { views }: coordinating.FollowingHosts,
  count: number,
  term: number,
): Promise<void> {
  await wait.waitFor(
    "all hosts to have all servers",
    () =>
      views.every((view) =>
        view.term === term && view.serverRecords(0).length === count
      ),
  );
}

async function serversOf(
  leader: fleetCoordinator.FleetCoordinator,
): Promise<gateway.ServerRecord[]> {
  const { servers } = await leader.watch({
    host: "observer",
    term: 0,
    revision: 0,
    configuration: 1,
  });
  return servers;
}

describe("a leader of many hosts", () => {
  for (const [hostCount, serverCount] of FLEETS) {
    it(`asks few of ${hostCount} hosts for ${serverCount} servers when it knows none`, async () => {
      using first = coordinating.createCoordinator();
      for (let index = 0; index < serverCount; index += 1) {
        beat(first, heartbeat(index));
      }
      using hosts = new coordinating.FollowingHosts(first, hostCount);
      await haveServers(hosts, serverCount, 1);
      await timers.setTimeout(REPORT_MS);
      hosts.resetCounts();
      using second = coordinating.createCoordinator({ term: 2 });
      hosts.leader = second;
      first[Symbol.dispose]();
      await haveServers(hosts, serverCount, 2);
      await timers.setTimeout(REPORT_MS);
      expect(await serversOf(second)).to.have.length(serverCount);
      expect(hosts.reportedRecords)
        .to.be.at.most(MAX_ASKED_HOSTS * serverCount + hostCount);
    });
  }

  for (const [hostCount, serverCount] of FLEETS) {
    it(`sends ${hostCount} hosts only changes of ${serverCount} servers when it has a copy of the last leader's list`, async () => {
      using first = coordinating.createCoordinator();
      for (let index = 0; index < serverCount; index += 1) {
        beat(first, heartbeat(index));
      }
      using hosts = new coordinating.FollowingHosts(first, hostCount);
      await haveServers(hosts, serverCount, 1);
      const known = hosts.views[0]?.copyServers(performance.now());
      expect(known?.servers).to.have.length(serverCount);
      // The copy lacks what the hosts are told of now.
      beat(first, heartbeat(0, { sequence: 2, state: "draining" }));
      beat(first, heartbeat(serverCount));
      await haveServers(hosts, serverCount + 1, 1);
      hosts.resetCounts();
      using second = coordinating.createCoordinator({
        term: 2,
        known,
      });
      hosts.leader = second;
      first[Symbol.dispose]();
      await haveServers(hosts, serverCount + 1, 2);
      await timers.setTimeout(REPORT_MS);
      const servers = await serversOf(second);
      expect(servers).to.have.length(serverCount + 1);
      expect(servers.find(({ id }) => id === "s0")?.state)
        .to.equal("draining");
      const changed = 2;
      expect(hosts.reportedRecords).to.be.at.most(MAX_ASKED_HOSTS * changed);
      expect(hosts.sentRecords).to.be.at.most(hostCount * changed);
    });
  }

  it("learns of a drain and an end that one host alone was told of", async () => {
    using first = coordinating.createCoordinator();
    for (let index = 0; index < 5; index += 1) beat(first, heartbeat(index));
    using hosts = new coordinating.FollowingHosts(first, 9);
    await haveServers(hosts, 5, 1);
    for (let index = 0; index < 8; index += 1) hosts.cut.add(`entry-${index}`);
    beat(first, heartbeat(1, { sequence: 2, state: "draining" }));
    first.handleHeartbeat({ kind: "ended", id: "s2" });
    const told = hosts.views[8];
    const state = (id: string) => told?.server(id)?.record.state;
    await wait.waitFor(
      "a host to be told",
      () => state("s1") === "draining" && state("s2") === "ended",
    );
    using second = coordinating.createCoordinator({ term: 2 });
    // The servers' last heartbeats to the second leader are older.
    beat(second, heartbeat(1));
    beat(second, heartbeat(2));
    hosts.leader = second;
    hosts.cut.clear();
    first[Symbol.dispose]();
    await wait.waitFor(
      "all hosts to be told",
      () =>
        hosts.views.every((view) =>
          view.term === 2 &&
          view.server("s1")?.record.state === "draining" &&
          view.server("s2")?.record.state === "ended"
        ),
    );
  });

  it("tells a copy of streams in few answers, however many begin", async () => {
    using leader = coordinating.createCoordinator();
    const copy = new core.gateway.StreamOrigins();
    let position = { term: 0, revision: 0, streamRevision: 0 };
    let answers = 0;
    let isOver = false;
    const following = (async () => {
      while (!isOver) {
        const { revision, streams, term } = await leader.watch({
          host: "control-2",
          isCopy: true,
          configuration: 1,
          ...position,
        });
        answers += 1;
        if (streams !== undefined) copy.apply(streams, performance.now());
        const streamRevision = streams?.revision ?? 0;
        position = { term, revision, streamRevision };
      }
    })();
    const until = performance.now() + CHANGES_MS;
    let begun = 0;
    while (performance.now() < until) {
      const streams = Array.from({ length: 50 }, () => ({
        id: `r${begun++}`,
        service: "advice",
        softwareVersion: "1",
        remainingMs: 10_000,
      }));
      await leader.report(fixtures.report("entry-1", { streams }));
      await timers.setTimeout(5);
    }
    const copiesPerSecond = answers * 1_000 / CHANGES_MS;
    await timers.setTimeout(2 * MAX_COPY_DELAY_MS);
    isOver = true;
    expect(copiesPerSecond).to.be.at.most(1_000 / MAX_COPY_DELAY_MS + 1);
    expect(copy.size).to.equal(begun);
    await leader.report(fixtures.report("entry-1", {
      streams: [{
        id: "last",
        service: "advice",
        softwareVersion: "1",
        remainingMs: 10_000,
      }],
    }));
    await following;
  });

  it("answers a bounded number of watches a second, however many servers change", async () => {
    using leader = coordinating.createCoordinator();
    for (let index = 0; index < 67; index += 1) beat(leader, heartbeat(index));
    using hosts = new coordinating.FollowingHosts(leader, 87);
    await haveServers(hosts, 67, 1);
    await timers.setTimeout(1_100);
    hosts.resetCounts();
    const startedAt = performance.now();
    let sequence = 1;
    while (performance.now() < startedAt + CHANGES_MS) {
      sequence += 1;
      const state = sequence % 2 === 0 ? "draining" : "ready";
      beat(leader, heartbeat(sequence % 67, { sequence, state }));
      await timers.setTimeout(5);
    }
    const seconds = (performance.now() - startedAt) / 1_000;
    expect(hosts.responses)
      .to.be.at.most(MAX_RESPONSES_PER_SECOND * seconds + 2 * 87);
  });

  it("tells 200 hosts of a draining server within 300 ms while others change", async () => {
    using leader = coordinating.createCoordinator();
    for (let index = 0; index < 20; index += 1) beat(leader, heartbeat(index));
    using hosts = new coordinating.FollowingHosts(leader, 200);
    await haveServers(hosts, 20, 1);
    await timers.setTimeout(1_100);
    const changes = timers.setInterval(3);
    let sequence = 1;
    for await (const _ of changes) {
      sequence += 1;
      beat(leader, heartbeat(sequence % 10, { sequence, slots: sequence }));
      if (sequence === 100) break;
    }
    const isDraining = () =>
      hosts.views.every((view) => view.server("s15")?.record.state !== "ready");
    beat(leader, heartbeat(15, { sequence: 2, state: "draining" }));
    const changedAt = performance.now();
    await wait.waitFor("all hosts to know", isDraining);
    expect(performance.now() - changedAt).to.be.below(300);
  });
});
