/**
 * Settings of duties, and the interface to the party that they are for.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";

/** Duties of a fleet. */
export type DutySettings = {
  readonly duties: readonly gateway.Duty[];
  /** Calls that all hosts together may make, per second; 0 means no limit. */
  readonly callsPerSecond: number;
  /** Length of a window whose usage is reported, in milliseconds. */
  readonly usageWindowMs: number;
  /** Time from the end of a window until its report is due, in ms. */
  readonly usageDueMs: number;
};

/** Duties of a fleet and the client that performs them. */
export type Duties = {
  readonly settings: DutySettings;
  readonly client: DutyClient;
};

/** Who makes a call. */
export type CallFence = {
  /** Name of the host. */
  readonly holder: string;
  /** Increases with each holder. */
  readonly fence: number;
};

/** What became of a call, and what the other side said. */
export type CallAnswer = core.duties.CallOutcome & {
  readonly detail: string;
};

/** Client of the party that duties are performed for. */
export interface DutyClient {
  /** Reports the usage of a window; does not reject. */
  reportUsage(
    usage: gateway.WindowUsage,
    fence: CallFence,
  ): Promise<CallAnswer>;
}
