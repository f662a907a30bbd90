/** A part deep in long prompts crashes runners: is it told apart? */
import * as path from "node:path";
import * as url from "node:url";
import * as config from "../stand-ins-2/config.mjs";
import * as harness from "../stand-ins-2/harness.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
/** Parts that all requests share, as the turns of a long conversation. */
const SHARED_PARTS = 30;
const RUNNERS = 6;
const BACK_MS = 3_000;
const CONTACT_MS = 3_000;
const DURATION_MS = 32_000;
const CRASHING_INTERVAL_MS = 400;
const SOUND_INTERVAL_MS = 150;
const EVENTS = 6;
/** Requests of each kind from which on their shares are compared. */
const MIN_SOUND = 20;

await harness.runCase(FOLDER, async ({ createFleet, onCleanUp, record }) => {
  const fleet = createFleet();
  await fleet.start(3, 2);
  const answer = await fleet.operate(
    "PUT",
    "/config",
    config.configuration(1, {
      routes: [config.route("advice", "streaming", "advisor")],
      services: [config.engineService("advisor", 0)],
      tenants: [config.tenant("tenant-a", "key-a", { rate_per_s: 0 })],
    }),
  );
  if (answer.status !== 200) throw new Error("the configuration was refused");
  const crashes = [];
  const arrivals = [];
  let isOver = false;
  const serve = async (request, socket, runner) => {
    const { headers } = request;
    const id = headers["request-id"];
    const runnerId = runner.options.id;
    if (!runner.models.includes(headers.model)) {
      return harness.reply(socket, request, 421, "Misdirected Request", "");
    }
    const isCrashing = headers["prompt-prefix"].includes("bad1:");
    if (isCrashing) arrivals.push(performance.now());
    record.write(`runner ${runnerId} begins ${id} crashing=${isCrashing}`);
    await harness.sleep(30);
    socket.write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
        `Request-Id: ${id}\r\nResponse-Seal: seal-${id}\r\n` +
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    if (isCrashing) {
      if (runner.isDown) return;
      runner.isDown = true;
      crashes.push(performance.now());
      record.write(`runner ${runnerId} crashes under ${id}`);
      runner.crash();
      await harness.sleep(BACK_MS);
      if (isOver) return;
      await runner.restart();
      runner.isDown = false;
      record.write(`runner ${runnerId} is back`);
      return;
    }
    for (let number = 1; number <= EVENTS; number += 1) {
      if (socket.destroyed) return;
      const event = `id: ${number}\ndata: ${number}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      await harness.sleep(30);
    }
    if (!socket.destroyed) socket.write("0\r\n\r\n");
  };
  for (let index = 1; index <= RUNNERS; index += 1) {
    const runner = new harness.Runner(fleet, {
      id: `i-${index}`,
      service: "advisor",
      models: [config.MODEL],
      loadMs: 300,
      serve,
    });
    await runner.start();
    onCleanUp(() => runner.stop());
  }
  await fleet.waitUntilReady();
  await harness.sleep(4_000);

  const shared = Array.from(
    { length: SHARED_PARTS },
    (_, index) => `5c${index.toString(16).padStart(4, "0")}:20`,
  );
  let count = 0;
  const sound = { before: [0, 0], after: [0, 0] };
  const fifthAt = () => crashes[4] ?? Infinity;
  let troubleAt = Infinity;
  /** "The fifth crash (the last, if there are fewer)", as far as known. */
  const judgedFrom = () =>
    (harness.IS_TROUBLED ? crashes[4] ?? crashes.at(-1) : troubleAt) +
    2 * CONTACT_MS;
  const send = async (isCrashing) => {
    count += 1;
    const id = harness.newRequestId();
    const machine = fleet.front[count % fleet.front.length];
    const parts = [
      ...shared,
      // No two are alike.
      `60${id.slice(-6)}:20`,
      ...(isCrashing ? ["bad1:20"] : []),
      `${id}:20`,
    ];
    const sentAt = performance.now();
    const { body, ending, status } = await harness.send(
      fleet.address(machine, "callers"),
      {
        path: "/advice/1",
        body: `question ${id}`,
        headers: {
          "Host": config.HOST,
          "Request-Id": id,
          "Deadline-Ms": 8_000,
          "Api-Key": "key-a",
          "Model": config.MODEL,
          "Token-Usage": `${parts.length * 20},40`,
          "Prompt-Prefix": parts.join(","),
        },
      },
    );
    record.write(
      `client ${id} crashing=${isCrashing} status=${status} ended=${ending} ` +
        (status === 503 ? body.slice(0, 220) : ""),
    );
    if (isCrashing) return;
    const phase = sentAt < troubleAt
      ? sound.before
      : sentAt > judgedFrom()
      ? sound.after
      : undefined;
    if (phase === undefined) return;
    phase[0] += 1;
    if (body.includes("id: 1")) phase[1] += 1;
  };
  const sent = [];
  const play = async (durationMs, isTroubled) => {
    const until = performance.now() + durationMs;
    let nextCrashing = performance.now();
    while (performance.now() < until) {
      if (isTroubled && performance.now() >= nextCrashing) {
        nextCrashing += CRASHING_INTERVAL_MS;
        sent.push(send(true));
      }
      sent.push(send(false));
      await harness.sleep(SOUND_INTERVAL_MS);
    }
  };
  await play(6_000, false);
  await Promise.all(sent);
  troubleAt = performance.now();
  await play(DURATION_MS, harness.IS_TROUBLED);
  await Promise.all(sent);
  isOver = true;
  const late = arrivals.filter((at) => at > fifthAt() + CONTACT_MS).length;
  record.write(`sound: ${JSON.stringify(sound)}`);
  const share = ([all, begun]) => begun / all;
  if (sound.before[0] < MIN_SOUND || sound.after[0] < MIN_SOUND) {
    throw new Error("too few sound requests to compare");
  }
  return {
    isBroken: share(sound.after) < share(sound.before) / 2,
    detail: `${sound.after[1]} of ${sound.after[0]} sound requests begin ` +
      `from ${2 * CONTACT_MS} ms after the fifth crash on, ` +
      `${sound.before[1]} of ${sound.before[0]} before; ${crashes.length} ` +
      `crashes in all, ${late} requests with the crashing part reached ` +
      `runners later than ${CONTACT_MS} ms after the fifth`,
  };
});
