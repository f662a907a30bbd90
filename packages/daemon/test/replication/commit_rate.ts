/**
 * Measures commits per second of three replicas on loopback.
 *
 * Run after a build with
 * `node packages/daemon/dist/test/replication/commit_rate.js`.
 *
 * @module
 */

import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { ProcessGroup } from "./process_group.ts";

const CALLERS = [1, 16, 256];
const SECONDS = 3;
const COMMAND_BYTES = 300;
const CALL_TIMEOUT_MS = 20_000;

function quantile(sorted: number[], share: number): string {
  return (sorted[Math.floor(sorted.length * share)] ?? 0).toFixed(1);
}

async function measure(commit: "group" | "single"): Promise<void> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), "commits-"));
  {
    await using group = await ProcessGroup.prepare(folder, 3, commit);
    group.startAll();
    for (const callers of CALLERS) {
      const params = { callers, seconds: SECONDS, bytes: COMMAND_BYTES };
      const leader = await group.leader();
      const latencies = await group.call(
        leader,
        "test.load",
        params,
        CALL_TIMEOUT_MS,
      ) as number[];
      const rate = Math.round(latencies.length / SECONDS);
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
