/**
 * Waiting until a change is in force at every host.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as protocol from "@ebonypath/protocol";
import type * as clients from "../client/mod.ts";
import * as failure from "../failure.ts";
import * as output from "../output/mod.ts";

/** Pause between two looks, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/** How long to wait for hosts. */
export interface Limits {
  /** Time for a change to be in force everywhere, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Time after a change from which hosts that are not current count as
   * absent, in milliseconds.
   */
  readonly absentAfterMs: number;
}

const LIMITS: Limits = { timeoutMs: 15_000, absentAfterMs: 5_000 };

/** Where a change is in force. */
export interface InForce {
  /** Hosts at which it is in force. */
  readonly hosts: readonly string[];
  /** Hosts that start no work and will learn it before they do. */
  readonly absent: readonly string[];
  /** Hosts that start work without it. */
  readonly late: readonly string[];
  /** Time since the change was sent, in milliseconds. */
  readonly elapsedMs: number;
  /** Why it is not known where the change is in force. */
  readonly unknown?: string;
}

/**
 * Waits until every host that starts work has applied a log index.
 *
 * @param sentAt when the change was sent, by `performance.now()`.
 * @example
 * ```ts
 * const inForce = await waitInForce(client, index, sentAt);
 * ```
 */
export async function waitInForce(
  client: Pick<clients.Client, "read">,
  index: number,
  sentAt: number,
  limits: Limits = LIMITS,
): Promise<InForce> {
  try {
    return await poll(client, index, sentAt, limits);
  } catch (error) {
    if (!(error instanceof failure.Failure)) throw error;
    const elapsedMs = performance.now() - sentAt;
    const unknown = error.message;
    return { hosts: [], absent: [], late: [], elapsedMs, unknown };
  }
}

/** Whether every host that starts work has the change. */
export function isEverywhere(inForce: InForce): boolean {
  return inForce.late.length === 0 && inForce.unknown === undefined;
}

async function poll(
  client: Pick<clients.Client, "read">,
  index: number,
  sentAt: number,
  limits: Limits,
): Promise<InForce> {
  const deadline = sentAt + limits.timeoutMs;
  while (true) {
    const { hosts } = await client.read(
      "/v1/hosts",
      protocol.operators.Hosts,
    );
    const elapsedMs = performance.now() - sentAt;
    const inForce = sort(hosts, index, elapsedMs);
    if (isSettled(inForce, limits) || performance.now() >= deadline) {
      return inForce;
    }
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
}

/**
 * The leader learns with a delay whether a host is current, so a host counts
 * as absent only some time after the change was made.
 */
function isSettled(inForce: InForce, limits: Limits): boolean {
  if (inForce.late.length > 0) return false;
  return inForce.absent.length === 0 ||
    inForce.elapsedMs > limits.absentAfterMs;
}

/**
 * Renders in force where and since when.
 *
 * @example
 * ```ts
 * out.lines(...renderInForce(inForce));
 * ```
 */
export function renderInForce(inForce: InForce): string[] {
  const { hosts, absent, late, elapsedMs, unknown } = inForce;
  if (unknown !== undefined) {
    return [`accepted, but it is not known where it is in force: ${unknown}`];
  }
  const total = hosts.length + absent.length + late.length;
  const lines = [
    `in force on ${hosts.length} of ${total} hosts after ${
      output.renderSeconds(elapsedMs)
    }`,
  ];
  if (absent.length > 0) {
    lines.push(`not current, they start no work: ${absent.join(", ")}`);
  }
  if (late.length > 0) lines.push(`NOT in force on: ${late.join(", ")}`);
  return lines;
}

function sort(
  hosts: readonly protocol.operators.Host[],
  index: number,
  elapsedMs: number,
): InForce {
  const reached = hosts.filter((host) => host.index >= index);
  const others = hosts.filter((host) => host.index < index);
  return {
    hosts: names(reached),
    absent: names(others.filter((host) => !host.current)),
    late: names(others.filter((host) => host.current)),
    elapsedMs,
  };
}

function names(hosts: readonly protocol.operators.Host[]): string[] {
  return hosts.map(({ name }) => name).sort();
}
