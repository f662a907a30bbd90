/**
 * Frame of a case: its record, its time limit and its exit code.
 *
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as fleets from "./fleet.js";

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
const TIME_LIMIT_MS = 115_000;

/** Whether the disruption is played; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case with a fleet, and ends the process with its result.
 *
 * @param play resolves to what broke the rule, in words; empty if it held
 */
export async function runCase(folder, { control, entry }, play) {
  const startedAt = performance.now();
  const lines = [];
  const record = (text) => {
    const seconds = (performance.now() - startedAt) / 1_000;
    lines.push(`${seconds.toFixed(3)} s  ${text}`);
  };
  const cleanUps = [];
  let fleet;
  let isFinished = false;
  const finish = async (code, summary) => {
    if (isFinished) return;
    isFinished = true;
    record(summary);
    for (const cleanUp of cleanUps) await cleanUp();
    await fleet?.stop();
    const file = path.join(folder, "record.txt");
    fs.writeFileSync(file, `${lines.join("\n")}\n`);
    process.stdout.write(`${summary}\n`);
    process.exit(code);
  };
  // Without it, Node.js would exit with the code of a broken rule.
  process.on(
    "uncaughtException",
    (error) => void finish(COULD_NOT_RUN, `could not run: ${error.stack}`),
  );
  const limit = setTimeout(
    () => void finish(COULD_NOT_RUN, "could not run: the time is over"),
    TIME_LIMIT_MS,
  );
  try {
    record(hasTrouble ? "with the disruption" : "without the disruption");
    fleet = await fleets.Fleet.start(control, entry);
    const broken = await play({
      fleet,
      record,
      defer: (cleanUp) => cleanUps.push(cleanUp),
    });
    clearTimeout(limit);
    await finish(
      broken.length > 0 ? BROKEN : HELD,
      broken.length > 0 ? `broken: ${broken.join("; ")}` : "held",
    );
  } catch (error) {
    for (
      const { log, name } of [...fleet?.control ?? [], ...fleet?.entry ?? []]
    ) {
      record(`${name}: ${log.slice(-15).join("\n  ")}`);
    }
    await finish(COULD_NOT_RUN, `could not run: ${error.stack}`);
  }
}
