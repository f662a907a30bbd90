/** A configuration renames a tenant: are its requests answered? */
import * as path from "node:path";
import * as url from "node:url";
import * as config from "../stand-ins-2/config.mjs";
import * as harness from "../stand-ins-2/harness.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
/** A name in Turkish, as the tenants of a customer have them. */
const NAME = harness.IS_TROUBLED ? "Geyve Şubesi" : "Geyve Subesi";
const REQUESTS = 40;
/** Bound of the rule: a quarter of the share of all. */
const STARVED_FRACTION = 1 / 4;
const CONFIG_APPLY_MS = 2_000;

await harness.runCase(FOLDER, async ({ createFleet, onCleanUp, record }) => {
  const fleet = createFleet();
  await fleet.start(3, 2);
  const configure = async (version, name) => {
    const answer = await fleet.operate(
      "PUT",
      "/config",
      config.configuration(version, {
        routes: [config.route("order", "unsafe", "desk")],
        services: [config.plainService("desk")],
        tenants: [
          config.tenant(name, "key-a"),
          config.tenant("tenant-b", "key-b"),
        ],
      }),
    );
    record.write(`configuration ${version}: tenant ${name}: ${answer.status}`);
    if (answer.status !== 200) throw new Error("it was refused");
  };
  await configure(1, "tenant-a");
  for (const id of ["i-1", "i-2"]) {
    const runner = new harness.Runner(fleet, {
      id,
      service: "desk",
      slots: 6,
      serve: async (request, socket) => {
        const { headers } = request;
        record.write(`runner ${id} begins ${headers["request-id"]}`);
        await harness.sleep(30);
        harness.reply(socket, request, 200, "OK", "done", {
          "Response-Seal": "seal",
        });
      },
    });
    await runner.start();
    onCleanUp(() => runner.stop());
  }
  await fleet.waitUntilReady();
  await harness.sleep(3_000);

  const send = async (key) => {
    const id = harness.newRequestId();
    const machine = fleet.front[Number.parseInt(id, 16) % fleet.front.length];
    const answer = await harness.send(fleet.address(machine, "callers"), {
      path: "/order/1",
      body: "one order",
      headers: {
        "Host": config.HOST,
        "Request-Id": id,
        "Deadline-Ms": 2_500,
        "Api-Key": key,
      },
    });
    record.write(
      `client ${id} ${key} status=${answer.status} ended=${answer.ending}`,
    );
    return answer.status;
  };
  const play = async (name) => {
    const statuses = { "key-a": [], "key-b": [] };
    for (let index = 0; index < REQUESTS; index += 1) {
      for (const key of ["key-a", "key-b"]) {
        statuses[key].push(await send(key));
      }
    }
    const served = (key) => statuses[key].filter((one) => one === 200).length;
    const closed = statuses["key-a"].filter((one) => one === 0).length;
    record.write(
      `${name}: tenant of key-a: ${served("key-a")} of ${REQUESTS} served, ` +
        `${closed} without an answer; ` +
        `tenant-b: ${served("key-b")} of ${REQUESTS}`,
    );
    return {
      served: served("key-a"),
      closed,
      all: served("key-a") + served("key-b"),
    };
  };
  const before = await play("before");
  if (before.all < 2 * REQUESTS) throw new Error("not all were served before");
  await configure(2, NAME);
  await harness.sleep(CONFIG_APPLY_MS);
  const { all, closed, served } = await play("after");
  const share = served / REQUESTS;
  const shareOfAll = all / (2 * REQUESTS);
  return {
    isBroken: share < shareOfAll * STARVED_FRACTION,
    detail: `${served} of ${REQUESTS} requests of the tenant are served, ` +
      `${closed} are read and get no answer; ${all} of ${2 * REQUESTS} of all`,
  };
});
