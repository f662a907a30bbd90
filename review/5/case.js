/**
 * The control host that acknowledges the end of a runner is lost right after it
 * has done so.
 *
 * @module
 */
import * as url from "node:url";
import { hasTrouble, runCase } from "../lib/case.js";
import * as calls from "../lib/calls.js";
import * as service from "../lib/plain_service.js";

const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
/** Time that is left for the machines to be in touch again, in milliseconds. */
const MARGIN_MS = 500;
const REQUESTS = 40;
const REQUEST_INTERVAL_MS = 25;
/** Pause between two runners that leave, in milliseconds. */
const PAUSE_MS = 4;
/** Heartbeats after which each runner is known to all hosts, in milliseconds. */
const SETTLE_MS = 4_000;

await runCase(
  url.fileURLToPath(new URL(".", import.meta.url)),
  { control: 5, entry: 2 },
  async ({ defer, fleet, record }) => {
    const operator = new calls.Operator(() => fleet.control, record);
    await operator.order("PUT", "/config", { body: service.configuration(7) });
    const runners = await service.startRunners({ defer, fleet, record });
    await fleet.waitUntilReady();
    await calls.sleep(SETTLE_MS);

    const [other, runner] = runners;
    const leader = fleet.control.find(({ addresses }) =>
      addresses.control === runners[0].leaderAddress
    );
    record(`${other.id} tells ${leader.name} that it is gone`);
    await other.leave(leader);
    await calls.sleep(PAUSE_MS);
    record(`${runner.id} tells ${leader.name} that it is gone`);
    let acknowledgedAt;
    const status = await runner.leave(leader, () => {
      acknowledgedAt = performance.now();
      if (hasTrouble) leader.child.kill("SIGKILL");
    });
    record(`${leader.name} has acknowledged with ${status}`);
    if (status !== 200) throw new Error("the end was not acknowledged");
    if (hasTrouble) record(`${leader.name} was lost right after`);

    const judgedFrom = acknowledgedAt + MARGIN_MS +
      Math.max(CONTACT_MS, DRAIN_MS);
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
    const late = runner.runs.filter(({ at }) => at >= judgedFrom);
    record(`${late.length} of ${REQUESTS} requests reached ${runner.id}`);
    return late.length === 0
      ? []
      : [`DRAIN: ${late.length} requests reached ${runner.id}`];
  },
);
