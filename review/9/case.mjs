/** A heartbeat of another writer, with fields missing: do the others hold? */
import * as path from "node:path";
import * as url from "node:url";
import * as config from "../stand-ins-2/config.mjs";
import * as harness from "../stand-ins-2/harness.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const REQUESTS = 120;
const INTERVAL_MS = 60;
const WORK_MS = 800;
/** "Less than a quarter as often as those on the first routes." */
const FRACTION = 1 / 4;

await harness.runCase(FOLDER, async ({ createFleet, onCleanUp, record }) => {
  const fleet = createFleet();
  await fleet.start(3, 2);
  const services = [config.plainService("first"), config.plainService("desk")];
  const tenants = [config.tenant("tenant-a", "key-a", { rate_per_s: 0 })];
  const first = config.route("first", "unsafe", "first");
  const added = config.route("order", "unsafe", "desk");
  const configure = async (version, routes) => {
    const document = config.configuration(version, {
      routes,
      services,
      tenants,
    });
    const { status } = await fleet.operate("PUT", "/config", document);
    if (status !== 200) throw new Error("the configuration was refused");
  };
  await configure(1, [first]);
  for (const service of ["first", "desk"]) {
    for (const index of [1, 2]) {
      const id = `i-${service}-${index}`;
      const runner = new harness.Runner(fleet, {
        id,
        service,
        slots: 6,
        serve: async (request, socket) => {
          record.write(`runner ${id} begins ${request.headers["request-id"]}`);
          await harness.sleep(WORK_MS);
          harness.reply(socket, request, 200, "OK", "done", {
            "Response-Seal": "seal",
          });
        },
      });
      await runner.start();
      onCleanUp(() => runner.stop());
    }
  }
  await fleet.waitUntilReady();
  await configure(2, [first, added]);

  // It lacks `version`, `slots`, `cold_left_ms` and `born`.
  const id = encodeURIComponent("runner–1");
  let sequence = 0;
  const beat = async () => {
    sequence += 1;
    const body = JSON.stringify({
      service: "desk",
      address: "127.0.0.1:9",
      zone: "zone-a",
      state: "ready",
      seq: sequence,
    });
    const status = await harness.call(
      fleet.controlAddresses[sequence % 3],
      "PUT",
      `/instances/${id}`,
      { body },
    ).then((one) => one.status, () => 0);
    record.write(`heartbeat of another writer /instances/${id}: ${status}`);
  };
  if (harness.IS_TROUBLED) {
    await beat();
    const timer = setInterval(() => void beat(), 1_200);
    onCleanUp(() => clearInterval(timer));
  }
  await harness.sleep(4_000);

  const served = { first: 0, order: 0 };
  let closed = 0;
  const sent = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    for (const route of ["first", "order"]) {
      const machine = fleet.front[index % fleet.front.length];
      const requestId = harness.newRequestId();
      sent.push(
        harness.send(fleet.address(machine, "callers"), {
          path: `/${route}/1`,
          body: "one order",
          headers: {
            "Host": config.HOST,
            "Request-Id": requestId,
            "Deadline-Ms": 2_500,
            "Api-Key": "key-a",
          },
        }).then(({ ending, status }) => {
          record.write(`client ${requestId} ${route} ${status} ${ending}`);
          if (status === 200) served[route] += 1;
          if (status === 0) closed += 1;
        }),
      );
    }
    await harness.sleep(INTERVAL_MS);
  }
  await Promise.all(sent);
  return {
    isBroken: served.order < served.first * FRACTION,
    detail: `${served.order} of ${REQUESTS} requests on the added route are ` +
      `served, ${served.first} of ${REQUESTS} on the first; ${closed} are read ` +
      "and get no answer",
  };
});
