/**
 * Messages and replicated records of duties: work for an outside party that one
 * host at a time performs for the whole fleet.
 *
 * @module
 */
import * as v from "valibot";
import { Name } from "./name.ts";

const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Duties that a fleet may have. */
export const Duty = v.picklist([
  /** Reports how many requests of each workspace servers began to run. */
  "usage",
  /** Orders the number of servers of a service in a failure domain. */
  "scaling",
]);
export type Duty = v.InferOutput<typeof Duty>;

/** Requests that servers began to run. */
export const WorkspaceCount = v.object({ workspace: Name, count: Count });
export type WorkspaceCount = v.InferOutput<typeof WorkspaceCount>;

/**
 * Requests of a workspace that servers began to run for one host in a window, as
 * the host has counted since it started.
 */
export const WindowCount = v.object({
  ...WorkspaceCount.entries,
  /** Number of the window: its begin since 1970 in lengths of a window. */
  window: Count,
});
export type WindowCount = v.InferOutput<typeof WindowCount>;

/** The content of the report for a window; it never changes. */
export const WindowUsage = v.object({
  window: Count,
  counts: v.array(WorkspaceCount),
});
export type WindowUsage = v.InferOutput<typeof WindowUsage>;

/** How many servers of a service a failure domain is to have. */
export const ServerOrder = v.object({
  service: Name,
  domain: Name,
  count: Count,
  /** Whether the outside party has accepted the order. */
  isAccepted: v.boolean(),
});
export type ServerOrder = v.InferOutput<typeof ServerOrder>;

/** Who performs a duty. */
export const DutyAssignment = v.object({
  duty: Duty,
  /** Name and address of the host. */
  holder: Name,
  /** Increases whenever the holder changes. */
  fence: Count,
});
export type DutyAssignment = v.InferOutput<typeof DutyAssignment>;
