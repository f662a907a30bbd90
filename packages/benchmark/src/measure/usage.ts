import * as fs from "node:fs/promises";
import * as timers from "node:timers/promises";
import type { launcher } from "@ebonypath/testing";
import * as undici from "undici";

/** What a process has used since its start. */
interface Reading {
  readonly timeMs: number;
  readonly cpuMs: number;
  readonly bytes: number;
  readonly memoryBytes: number;
}

/** What a process used over a window. */
export interface Usage {
  /** Part of one core, in percent. */
  readonly cpuPercent: number;
  /** Read and written, network and files together, each second. */
  readonly bytesPerSecond: number;
  /** Resident memory at the end. */
  readonly memoryMb: number;
}

/** Measures the use of several hosts over the same window. */
export async function measureHosts(
  hosts: readonly launcher.FleetHost[],
  windowMs: number,
): Promise<Usage[]> {
  const before = await Promise.all(hosts.map((host) => read(host, "start")));
  await timers.setTimeout(windowMs);
  const after = await Promise.all(hosts.map((host) => read(host, "end")));
  return after.map((end, index) => difference(before[index] as Reading, end));
}

/** Processor time and time in collections of a host since its start. */
export interface Work {
  readonly cpuMs: number;
  /** Time for which collections of garbage stopped the host. */
  readonly collectionMs: number;
}

/**
 * Reads what a host has worked so far.
 *
 * @example
 * ```ts
 * const { cpuMs } = await readWork(fleet.host(0));
 * ```
 */
export async function readWork(host: launcher.FleetHost): Promise<Work> {
  return parseWork(await readMetrics(host));
}

/** Reads processor time and time in collections from an exposition. */
export function parseWork(text: string): Work {
  const sums = text.split("\n")
    .filter((line) => line.startsWith("nodejs_gc_duration_seconds_sum{"))
    .map((line) => Number(line.slice(line.lastIndexOf(" "))));
  return {
    cpuMs: parseMetric(text, "process_cpu_seconds_total") * 1_000,
    collectionMs: sums.reduce((total, sum) => total + sum, 0) * 1_000,
  };
}

/** The mean of several usages. */
export function mean(usages: readonly Usage[]): Usage {
  const over = (value: (usage: Usage) => number) =>
    usages.reduce((sum, usage) => sum + value(usage), 0) /
    Math.max(1, usages.length);
  return {
    cpuPercent: over((usage) => usage.cpuPercent),
    bytesPerSecond: over((usage) => usage.bytesPerSecond),
    memoryMb: over((usage) => usage.memoryMb),
  };
}

/**
 * Reads a value of an exposition of Prometheus.
 *
 * @example
 * ```ts
 * parseMetric("a_total 3\n", "a_total"); // 3
 * ```
 */
export function parseMetric(text: string, name: string): number {
  for (const line of text.split("\n")) {
    if (line.startsWith(`${name} `)) return Number(line.slice(name.length));
  }
  throw new RangeError(`no metric ${name}`);
}

/** Sums what `/proc/PID/io` says of reads and writes. */
export function parseIo(text: string): number {
  const value = (name: string) =>
    Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(text)?.[1] ?? 0);
  return value("rchar") + value("wchar");
}

/** Reads a host; the bytes of the reading itself lie outside the window. */
async function read(
  host: launcher.FleetHost,
  edge: "start" | "end",
): Promise<Reading> {
  const early = edge === "end" ? await readBytes(host) : 0;
  const timeMs = performance.now();
  const text = await readMetrics(host);
  return {
    timeMs,
    cpuMs: parseMetric(text, "process_cpu_seconds_total") * 1_000,
    bytes: edge === "end" ? early : await readBytes(host),
    memoryBytes: parseMetric(text, "process_resident_memory_bytes"),
  };
}

async function readMetrics(host: launcher.FleetHost): Promise<string> {
  const answer = await undici.request(`${host.operators}/metrics`);
  return await answer.body.text();
}

async function readBytes(host: launcher.FleetHost): Promise<number> {
  return parseIo(await fs.readFile(`/proc/${host.process.pid}/io`, "utf8"));
}

function difference(before: Reading, after: Reading): Usage {
  const elapsedMs = after.timeMs - before.timeMs;
  return {
    cpuPercent: 100 * (after.cpuMs - before.cpuMs) / elapsedMs,
    bytesPerSecond: 1_000 * (after.bytes - before.bytes) / elapsedMs,
    memoryMb: after.memoryBytes / 1e6,
  };
}
