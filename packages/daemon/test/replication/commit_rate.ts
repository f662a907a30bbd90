/**
 * Measures the commit rate of three replicas on the loopback interface.
 *
 * Run after a build with
 * `node packages/daemon/dist/test/replication/commit_rate.js`.
 *
 * @module
 */

import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { ProcessCluster } from "./process_cluster.ts";

const CALLER_COUNTS = [1, 16, 256];
const DURATION_SECONDS = 3;
const COMMAND_BYTES = 300;
const CALL_TIMEOUT_MS = 20_000;

function quantile(sorted: number[], fraction: number): string {
  return (sorted[Math.floor(sorted.length * fraction)] ?? 0).toFixed(1);
}

async function measure(commit: "group" | "single"): Promise<void> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), "commits-"));
  {
    await using cluster = await ProcessCluster.prepare(folder, 3, commit);
    cluster.startAll();
    for (const callers of CALLER_COUNTS) {
      const params = {
        callers,
        seconds: DURATION_SECONDS,
        bytes: COMMAND_BYTES,
      };
      const leader = await cluster.leader();
      const latencies = await cluster.call(
        leader,
        "test.load",
        params,
        CALL_TIMEOUT_MS,
      ) as number[];
      const rate = Math.round(latencies.length / DURATION_SECONDS);
      console.log(
        `commit=${commit} callers=${callers} commits_per_second=${rate} ` +
          `p50_ms=${quantile(latencies, 0.5)} ` +
          `p99_ms=${quantile(latencies, 0.99)}`,
      );
    }
  }
  await fs.rm(folder, { recursive: true, force: true });
}

await measure("single");
await measure("group");
