/**
 * Runs one experiment: `npm run bench -- NAME [--seed N] [--report FILE]`.
 *
 * @module
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import process from "node:process";
import sade from "sade";
import * as experiments from "./experiments/mod.ts";
import * as figures from "./figures.ts";
import * as report from "./report/mod.ts";
import type * as types from "./types.ts";

const program = sade("bench <name>", true)
  .version("0.1.0")
  .describe("Runs one experiment; `list` names them all.")
  .option("--seed", "Seed of arrivals and choices", 1)
  .option("--baseline", "Only this baseline")
  .option("--json", "Print the figures as JSON")
  .option("--report", "Write a page with plots to this file")
  .action(main);

program.parse(process.argv);

async function main(
  name: string,
  given: Readonly<Record<string, unknown>>,
): Promise<void> {
  if (name === "list") return list();
  const experiment = experiments.find(name);
  if (experiment === undefined) {
    console.error(`no experiment "${name}"; try "npm run bench -- list"`);
    process.exitCode = 2;
    return;
  }
  const seed = Number(given["seed"]);
  const isJson = given["json"] === true;
  const started = new Date().toISOString();
  const load = os.loadavg()[0] ?? 0;
  const outcome = await experiment.run({
    seed,
    baseline: textOf(given["baseline"]),
    settings: settingsOf(given),
    print: isJson ? () => undefined : (line) => console.log(line),
  });
  const head = {
    experiment: name,
    seed,
    loadBefore: load,
    loadAfter: os.loadavg()[0] ?? 0,
  };
  const all = { ...head, ...outcome.figures };
  await writeReport(textOf(given["report"]), name, started, {
    ...outcome,
    figures: all,
  });
  console.log(isJson ? JSON.stringify(all) : figures.renderLine(all));
}

function list(): void {
  for (const { name, summary, options = {} } of experiments.EXPERIMENTS) {
    console.log(`${name.padEnd(16)} ${summary}`);
    for (const [option, meaning] of Object.entries(options)) {
      console.log(`${"".padEnd(16)}   --${option.padEnd(10)} ${meaning}`);
    }
  }
}

async function writeReport(
  file: string | undefined,
  name: string,
  date: string,
  outcome: types.Outcome,
): Promise<void> {
  if (file === undefined) return;
  const shown = Object.entries(outcome.figures)
    .map(([key, value]) => [key, figures.render(value)]);
  const command = `npm run bench -- ${process.argv.slice(2).join(" ")}`;
  const page = report.renderPage({
    name,
    command,
    date,
    figures: Object.fromEntries(shown),
    charts: outcome.charts,
  });
  await fs.writeFile(file, page);
}

function settingsOf(
  given: Readonly<Record<string, unknown>>,
): Record<string, string> {
  const entries = Object.entries(given)
    .filter(([name]) => name !== "_")
    .map(([name, value]) => [name, String(value)]);
  return Object.fromEntries(entries);
}

function textOf(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}
