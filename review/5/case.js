/**
 * Entry hosts are restarted in turn while one workspace sends six times what its
 * rate allows.
 *
 * @module
 */
import * as url from "node:url";
import { hasTrouble, runCase } from "../lib/case.js";
import * as balancers from "../lib/balancer.js";
import * as calls from "../lib/calls.js";
import * as service from "../lib/plain_service.js";

/** Rate and burst of a workspace, in tokens. */
const RATE_PER_SECOND = 22_508;
const BURST = 22_508;
const REQUEST_TOKENS = [1_460, 80];
const TOKENS = REQUEST_TOKENS[0] + REQUEST_TOKENS[1];
/** Strength of a hot workspace on a day of the site file. */
const HOT_FACTOR = 6;
/** Length of that, in milliseconds. */
const HOT_MS = 11_000;
/** Pause between two hosts that are stopped: the platform's default. */
const GAP_MS = 1_000;
const RESTART_MS = 300;
const WINDOW_MS = 8_000;
const OVERAGE = 0.1;
const SLACK = 11_000;
const SECOND_MS = 1_000;

await runCase(
  url.fileURLToPath(new URL(".", import.meta.url)),
  { control: 3, entry: 7 },
  async ({ defer, fleet, record }) => {
    const operator = new calls.Operator(() => fleet.control, record);
    const tenant = { "rate_per_s": RATE_PER_SECOND, burst: BURST };
    const body = service.configuration(7, tenant);
    await operator.order("PUT", "/config", { body });
    const runners = await service.startRunners({ defer, fleet, record });
    await fleet.waitUntilReady();
    const balancer = new balancers.Balancer(fleet.entry);
    defer(() => balancer.stop());
    await calls.sleep(3_000);

    const sentAt = new Map();
    const startedAt = performance.now();
    const rolling = hasTrouble ? roll(fleet, record) : undefined;
    const intervalMs = TOKENS / (HOT_FACTOR * RATE_PER_SECOND) * SECOND_MS;
    const pending = [];
    for (let index = 0;; index += 1) {
      const dueMs = index * intervalMs;
      if (dueMs >= HOT_MS) break;
      await calls.sleep(startedAt + dueMs - performance.now());
      const host = balancer.pick();
      if (host === undefined) continue;
      const id = `hot-${index}`;
      sentAt.set(id, performance.now());
      pending.push(
        service.request(host, id, record, {
          "token-usage": REQUEST_TOKENS.join(","),
        }),
      );
    }
    await Promise.all(pending);
    await rolling;

    const runs = runners.flatMap((runner) => runner.runs)
      .map(({ at, id }) => ({ runAt: at, sentAt: sentAt.get(id) }));
    if (runs.length === 0) throw new Error("no request was served");
    const most = Math.max(
      ...runs.map(({ sentAt: from }) =>
        TOKENS *
        runs.filter((run) =>
          run.sentAt >= from && run.runAt <= from + WINDOW_MS
        ).length
      ),
    );
    const windowSeconds = WINDOW_MS / SECOND_MS;
    const limit = (RATE_PER_SECOND * windowSeconds + BURST) * (1 + OVERAGE) +
      SLACK;
    record(`most tokens in ${windowSeconds} s: ${most}; limit: ${limit}`);
    return most <= limit
      ? []
      : [`QUOTA: ${most} tokens in ${windowSeconds} s, ${limit} are allowed`];
  },
);

/** Stops and starts each entry host once, one after the other. */
async function roll(fleet, record) {
  await Promise.all(fleet.entry.map(async (host, position) => {
    await calls.sleep(position * GAP_MS);
    record(`${host.name} gets SIGTERM`);
    const { child } = host;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGTERM");
    await ended;
    record(`${host.name} has ended`);
    await calls.sleep(RESTART_MS);
    fleet.restart(host);
    record(`${host.name} is started again`);
  }));
}
