/**
 * All experiments, by name.
 *
 * @module
 */
import type * as types from "../types.ts";
import * as controlCost from "./control_cost.ts";
import * as overhead from "./overhead.ts";

/** In the order in which they are listed. */
export const EXPERIMENTS: readonly types.Experiment[] = [
  controlCost.controlCost,
  overhead.overhead,
];

/** Finds an experiment. */
export function find(name: string): types.Experiment | undefined {
  return EXPERIMENTS.find((experiment) => experiment.name === name);
}
