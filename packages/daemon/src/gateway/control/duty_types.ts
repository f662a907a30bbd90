/**
 * Settings of duties, and the interface to the party that they are for.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";

/** Duties of a fleet. */
export type DutySettings = {
  readonly duties: readonly gateway.Duty[];
  /** Calls that all hosts together may make, per second; 0 means no limit. */
  readonly callsPerSecond: number;
  /** Length of a window whose usage is reported, in milliseconds. */
  readonly usageWindowMs: number;
  /** Time from the end of a window until its report is due, in ms. */
  readonly usageDueMs: number;
  /** Failure domains whose loss the others must bear; for orders of servers. */
  readonly toleratedDomains: number;
  /** Failure domains for which servers are ordered; empty if all are. */
  readonly domains: readonly string[];
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

/** An order for the servers of a service in a failure domain. */
export type ServerCountOrder = Pick<
  gateway.ServerOrder,
  "service" | "domain" | "count"
>;

/** A call that a duty has to make, until it is accepted. */
export type DutyCall = {
  readonly duty: gateway.Duty;
  /** Identifies it; the same call has the same key. */
  readonly key: string;
  /** Name and fields of the log line on its answer. */
  readonly event: string;
  readonly fields: log.Fields;
  send(client: DutyClient, fence: CallFence): Promise<CallAnswer>;
  onAnswer(answer: CallAnswer): void;
};

/** Replicated state of duties, for the parts that perform them. */
export interface DutyContext {
  readonly settings: DutySettings;
  readonly metrics: metrics.GatewayMetrics;
  readonly state: () => core.gateway.GatewayState;
  /** Whether all entry hosts have had the time to tell what they know. */
  isSettled(): boolean;
  /**
   * Commits a command to the replicated state; resolves when it is applied.
   *
   * @throws {Error} the command may not be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
}

/** Client of the party that duties are performed for. */
export interface DutyClient {
  /** Reports the usage of a window; does not reject. */
  reportUsage(
    usage: gateway.WindowUsage,
    fence: CallFence,
  ): Promise<CallAnswer>;
  /** Orders the number of servers; does not reject. */
  orderServers(
    order: ServerCountOrder,
    fence: CallFence,
  ): Promise<CallAnswer>;
}
