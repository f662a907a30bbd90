import type * as report from "./report/mod.ts";

/** What an experiment is run with. */
export interface RunOptions {
  readonly seed: number;
  /** Only this baseline, where an experiment has several. */
  readonly baseline: string | undefined;
  /** Further options of the experiment, by name. */
  readonly settings: Readonly<Record<string, string>>;
  /** Prints a line while the experiment runs. */
  readonly print: (line: string) => void;
}

/** What an experiment found. */
export interface Outcome {
  /** Printed as `key=value` on the last line, in this order. */
  readonly figures: Readonly<Record<string, number | string>>;
  readonly charts: readonly report.Chart[];
}

/** One experiment; it ends by itself in less than 50 seconds. */
export interface Experiment {
  readonly name: string;
  readonly summary: string;
  /** Names and meanings of its own options. */
  readonly options?: Readonly<Record<string, string>>;
  readonly run: (options: RunOptions) => Promise<Outcome>;
}
