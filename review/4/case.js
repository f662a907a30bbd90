/**
 * A failure domain loses power, and with it the leader and the entry hosts that
 * relay some streams.
 *
 * @module
 */
import * as url from "node:url";
import { Balancer } from "../lib/balancer.js";
import * as calls from "../lib/calls.js";
import { hasTrouble, runCase } from "../lib/case.js";
import * as fleets from "../lib/fleet.js";
import * as service from "../lib/plain_service.js";
import * as runners from "../lib/runner.js";
import * as streams from "../lib/streams.js";

const CONTACT_MS = 3_000;
const CATCH_UP_MS = 4_000;
/** Time until the failure domain has power again, in milliseconds. */
const DARK_MS = 1_200;
const MARGIN_MS = 500;
const STREAMS_PER_HOST = 15;
const NEW_STREAMS = 40;
const START_INTERVAL_MS = 20;
/** Time after which each stream has long begun, in milliseconds. */
const SETTLE_MS = 3_000;
/** Streams from which on the rule holds. */
const MIN_STREAMS = 12;
const VERSIONS = ["v1", "v2"];

async function startRunner({ defer, fleet, record }, zone, version) {
  const index = fleets.ZONES.indexOf(zone) * VERSIONS.length +
    VERSIONS.indexOf(version);
  const runner = new runners.Runner({
    hosts: () => fleet.control,
    id: `i-${zone}-${version}`,
    ip: fleet.standInIp(index),
    record,
    respond: streams.writeEvents,
    service: service.SERVICE,
    version,
    zone,
  });
  defer(() => runner.stop());
  return await runner.start();
}

async function startRunners(play, zone) {
  return await Promise.all(
    VERSIONS.map((version) => startRunner(play, zone, version)),
  );
}

/** Takes the power from a failure domain and gives it back. */
async function losePower({ fleet, record }, zone, lostRunners) {
  const lost = [...fleet.control, ...fleet.entry].filter((host) =>
    host.zone === zone
  );
  await Promise.all([
    ...lost.map((host) => fleet.kill(host)),
    ...lostRunners.map((runner) => runner.stop()),
  ]);
  record(`${zone} has lost power: ${lost.map(({ name }) => name).join(", ")}`);
  await calls.sleep(DARK_MS);
  for (const host of lost) fleet.restart(host);
  record(`${zone} has power again`);
}

await runCase(
  url.fileURLToPath(new URL(".", import.meta.url)),
  { control: 5, entry: 7 },
  async (play) => {
    const { defer, fleet, record } = play;
    const operator = new calls.Operator(() => fleet.control, record);
    const body = service.configuration(7, {}, streams.ROUTE);
    await operator.order("PUT", "/config", { body });
    const runnersByZone = new Map();
    for (const zone of fleets.ZONES) {
      runnersByZone.set(zone, await startRunners(play, zone));
    }
    await fleet.waitUntilReady();
    const balancer = new Balancer(fleet.entry);
    defer(() => balancer.stop());
    await calls.sleep(SETTLE_MS);

    const [anyRunner] = runnersByZone.get(fleets.ZONES[0]);
    const leader = fleet.control.find(({ addresses }) =>
      addresses.control === anyRunner.leaderAddress
    );
    const { zone } = leader;
    record(`the leader is ${leader.name} in ${zone}`);
    const all = [];
    for (let index = 0; index < STREAMS_PER_HOST; index += 1) {
      for (const host of fleet.entry) {
        const stream = new streams.ClientStream(
          `s-${host.name}-${index}`,
          host,
          record,
        );
        all.push(stream);
        void stream.begin();
        await calls.sleep(START_INTERVAL_MS);
      }
    }
    await calls.sleep(SETTLE_MS);

    const brokenAt = performance.now();
    const affected = all.filter(({ host, isComplete, lastEvent }) =>
      host.zone === zone && lastEvent > 0 && !isComplete
    );
    let restarted;
    if (hasTrouble) {
      await losePower(play, zone, runnersByZone.get(zone));
      restarted = startRunners(play, zone);
    } else {
      record("the connections of the clients are broken, and nothing else");
      for (const stream of affected) stream.breakOff();
    }
    const takenUp = Promise.all(
      affected.map((stream) => stream.takeUp(() => balancer.pick())),
    );
    const judgedFrom = brokenAt + DARK_MS + MARGIN_MS +
      Math.max(CONTACT_MS, CATCH_UP_MS);
    await calls.sleep(judgedFrom - performance.now());
    record("streams are judged from here on");
    const fresh = [];
    for (let index = 0; index < NEW_STREAMS; index += 1) {
      const stream = new streams.ClientStream(
        `new-${index}`,
        balancer.pick(),
        record,
      );
      fresh.push(stream);
      void stream.begin();
      await calls.sleep(START_INTERVAL_MS);
    }
    await Promise.all([takenUp, restarted]);

    // Streams that went on earlier count in favor of the system.
    const judged = affected.filter(({ tries }) =>
      tries.some(({ sentAt, wentOn }) => wentOn || sentAt >= judgedFrom)
    );
    const wentOn =
      judged.filter(({ tries }) => tries.some(({ wentOn }) => wentOn)).length;
    const newBegun = fresh.filter(({ lastEvent }) => lastEvent > 0).length;
    const result = `of ${judged.length} streams that were taken up again, ` +
      `${wentOn} went on; of ${NEW_STREAMS} new ones, ${newBegun} began`;
    record(result);
    if (judged.length < MIN_STREAMS || newBegun === 0) throw new Error(result);
    const isBroken = wentOn / judged.length < newBegun / NEW_STREAMS / 2;
    return isBroken ? [`LOST: ${result}`] : [];
  },
);
