/**
 * An operator takes an evacuation back while the control host that it calls
 * first is frozen, and evacuates the zone again before that host wakes.
 *
 * @module
 */
import * as url from "node:url";
import { hasTrouble, runCase } from "../lib/case.js";
import * as calls from "../lib/calls.js";
import * as service from "../lib/plain_service.js";

const ZONE = "herning-b";
/** Length of a freeze on a day of the site file, in milliseconds. */
const FREEZE_MS = 6_500;
const EVACUATE_MS = 5_000;
const MAX_STRETCH_MS = 5_000;
const CONTACT_MS = 3_000;
const REQUESTS = 40;
const REQUEST_INTERVAL_MS = 50;

await runCase(
  url.fileURLToPath(new URL(".", import.meta.url)),
  { control: 5, entry: 2 },
  async ({ defer, fleet, record }) => {
    const operator = new calls.Operator(() => fleet.control, record);
    await operator.order("PUT", "/config", { body: service.configuration(7) });
    const runners = await service.startRunners({ defer, fleet, record });
    await fleet.waitUntilReady();
    await calls.sleep(CONTACT_MS);

    await operator.order("POST", `/evacuations/${ZONE}`);
    await calls.sleep(CONTACT_MS);

    const leader = runners[0].leaderAddress;
    const frozen = fleet.control.find(({ addresses }) =>
      addresses.control !== leader
    );
    const frozenAt = performance.now();
    if (hasTrouble) {
      record(`${frozen.name} is frozen`);
      frozen.child.kill("SIGSTOP");
      defer(() => frozen.child.kill("SIGCONT"));
    }
    await operator.order("DELETE", `/evacuations/${ZONE}`, { first: frozen });
    const other = fleet.control.find((host) => host !== frozen);
    await operator.order("POST", `/evacuations/${ZONE}`, { first: other });
    const acknowledgedAt = performance.now();
    record("the second evacuation is acknowledged; nothing takes it back");
    await calls.sleep(frozenAt + FREEZE_MS - performance.now());
    if (hasTrouble) {
      record(`${frozen.name} wakes`);
      frozen.child.kill("SIGCONT");
    }
    const wokenAt = performance.now();

    // All hosts are in touch again, and the bound is stretched no more.
    const judgedFrom = Math.max(
      acknowledgedAt + EVACUATE_MS + MAX_STRETCH_MS,
      wokenAt + 2 * CONTACT_MS,
    );
    await calls.sleep(judgedFrom - performance.now());
    record("requests are judged from here on");
    const pending = [];
    let served = 0;
    for (let index = 0; index < REQUESTS; index += 1) {
      const host = fleet.entry[index % fleet.entry.length];
      pending.push(
        service.request(host, `late-${index}`, record).then(({ status }) => {
          if (status === 200) served += 1;
        }),
      );
      await calls.sleep(REQUEST_INTERVAL_MS);
    }
    await Promise.all(pending);
    if (served === 0) throw new Error("no request was served");
    const runner = runners.find(({ zone }) => zone === ZONE);
    const late = runner.runs.filter(({ at }) => at >= judgedFrom);
    record(`${late.length} of ${REQUESTS} requests ran in ${ZONE}`);
    return late.length === 0
      ? []
      : [`EVAC: ${late.length} requests reached a runner in ${ZONE}`];
  },
);
