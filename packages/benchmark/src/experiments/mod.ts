/**
 * All experiments, by name.
 *
 * @module
 */
import type * as types from "../types.ts";
import * as claims from "./claims.ts";
import * as coldStart from "./cold_start.ts";
import * as controlCost from "./control_cost.ts";
import * as failover from "./failover.ts";
import * as failureDomain from "./failure_domain.ts";
import * as fairness from "./fairness.ts";
import * as feedSharing from "./feed_sharing.ts";
import * as idleHours from "./idle_hours.ts";
import * as overhead from "./overhead.ts";
import * as rate from "./rate.ts";
import * as serverChoice from "./server_choice.ts";
import * as streams from "./streams.ts";

/** In the order in which they are listed. */
export const EXPERIMENTS: readonly types.Experiment[] = [
  controlCost.controlCost,
  overhead.overhead,
  streams.streams,
  coldStart.coldStart,
  rate.rate,
  fairness.fairness,
  failureDomain.failureDomain,
  failover.failover,
  claims.claims,
  idleHours.idleHours,
  feedSharing.feedSharing,
  serverChoice.serverChoice,
];

/** Finds an experiment. */
export function find(name: string): types.Experiment | undefined {
  return EXPERIMENTS.find((experiment) => experiment.name === name);
}
