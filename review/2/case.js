/**
 * A runner leaves while the control host that it calls first is frozen, and
 * starts again under its id before that host wakes.
 *
 * @module
 */
import * as url from "node:url";
import { hasTrouble, runCase } from "../lib/case.js";
import * as calls from "../lib/calls.js";
import * as fleets from "../lib/fleet.js";
import * as service from "../lib/plain_service.js";
import * as runners from "../lib/runner.js";

const ADDED_SERVICE = "lager";
const ADDED_PREFIX = "/stock/";
/** Length of a freeze on a day of the site file, in milliseconds. */
const FREEZE_MS = 6_500;
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
/** Pause between the end of the runner and its next start, in milliseconds. */
const RESTART_MS = 500;
/** Requests on each route: the rule asks for 20 or more. */
const REQUESTS = 40;
const REQUEST_INTERVAL_MS = 25;
/** Part of the share of the first routes that an added one has to reach. */
const LEAST_SHARE = 0.25;

await runCase(
  url.fileURLToPath(new URL(".", import.meta.url)),
  { control: 5, entry: 2 },
  async ({ defer, fleet, record }) => {
    const operator = new calls.Operator(() => fleet.control, record);
    const first = service.configuration(7);
    await operator.order("PUT", "/config", { body: first });
    const [leaderWitness] = await service.startRunners({
      defer,
      fleet,
      record,
    });
    await fleet.waitUntilReady();
    await operator.order("PUT", "/config", { body: withAddedRoute(first) });
    const start = () => startAddedRunner(fleet, record, defer);
    const runner = await start();
    await calls.sleep(CONTACT_MS);

    const leader = leaderWitness.leaderAddress;
    const frozen = fleet.control.find(({ addresses }) =>
      addresses.control !== leader
    );
    const frozenAt = performance.now();
    if (hasTrouble) {
      record(`${frozen.name} is frozen`);
      frozen.child.kill("SIGSTOP");
      defer(() => frozen.child.kill("SIGCONT"));
    }
    await leave(runner, frozen, fleet, record);
    await calls.sleep(DRAIN_MS);
    await runner.stop();
    record(`${runner.id} has ended`);
    await calls.sleep(RESTART_MS);
    await start();
    record(`${runner.id} has started again and is acknowledged`);
    await calls.sleep(frozenAt + FREEZE_MS - performance.now());
    if (hasTrouble) {
      record(`${frozen.name} wakes`);
      frozen.child.kill("SIGCONT");
    }
    await calls.sleep(2 * CONTACT_MS);

    record("requests are judged from here on");
    const served = { first: 0, added: 0 };
    const pending = [];
    const send = async (kind, index, prefix) => {
      const host = fleet.entry[index % fleet.entry.length];
      const id = `${kind}-${index}`;
      const { status } = await service.request(host, id, record, {}, prefix);
      if (status === 200) served[kind] += 1;
    };
    for (let index = 0; index < REQUESTS; index += 1) {
      pending.push(send("first", index), send("added", index, ADDED_PREFIX));
      await calls.sleep(REQUEST_INTERVAL_MS);
    }
    await Promise.all(pending);
    const summary = `of ${REQUESTS} requests on each, ${served.first} on the ` +
      `first route and ${served.added} on the added one were served`;
    record(summary);
    if (served.first === 0) throw new Error("no request was served");
    return served.added < LEAST_SHARE * served.first
      ? [`CONFIG: ${summary}`]
      : [];
  },
);

/** The next version of a configuration, with one more route and service. */
function withAddedRoute(text) {
  const document = JSON.parse(text);
  const [route] = document.routes;
  const [plainService] = document.services;
  return JSON.stringify({
    ...document,
    version: document.version + 1,
    routes: [...document.routes, {
      ...route,
      name: "stock",
      "path_prefix": ADDED_PREFIX,
      service: ADDED_SERVICE,
    }],
    services: [...document.services, { ...plainService, name: ADDED_SERVICE }],
  });
}

async function startAddedRunner(fleet, record, defer) {
  const runner = new runners.Runner({
    hosts: () => fleet.control,
    id: "i-lager",
    ip: fleet.standInIp(fleets.ZONES.length),
    record,
    service: ADDED_SERVICE,
    zone: fleets.ZONES[0],
  });
  defer(() => runner.stop());
  return await runner.start();
}

/** Tells one control host after the other until one has acknowledged. */
async function leave(runner, first, fleet, record) {
  const others = fleet.control.filter((host) => host !== first);
  for (const host of [first, ...others]) {
    record(`${runner.id} sends its end to ${host.name}`);
    const status = await runner.leave(host).catch(({ message }) => message);
    record(`${runner.id} gets: ${status}`);
    if (status === 200) return;
  }
  throw new Error("the end was not acknowledged");
}
