import * as timers from "node:timers/promises";
import type { backend } from "@ebonypath/protocol";
import type { launcher } from "@ebonypath/testing";
import * as undici from "undici";

const INTERVAL_MS = 1_000;
const ANSWER_TIMEOUT_MS = 2_000;
const MEMORY_BYTES = 80 * 10 ** 9;

/** How a swarm behaves. */
export interface SwarmOptions {
  readonly servers: number;
  /** Whether the reported number of running requests changes each time. */
  readonly isBusy: boolean;
}

/**
 * Announces many backend servers from one process, each once a second and
 * spread evenly over the second and the entry hosts. Nothing listens at their
 * addresses.
 */
export class Swarm {
  /** Announcements that were not accepted. */
  refused = 0;
  accepted = 0;
  readonly #pools: undici.Pool[];
  readonly #token: string;
  readonly #options: SwarmOptions;
  readonly #stopping = new AbortController();
  readonly #running: Promise<void>;

  constructor(fleet: launcher.Fleet, options: SwarmOptions) {
    this.#options = options;
    this.#token = fleet.secrets.joinToken;
    this.#pools = fleet.backends.map((origin) =>
      new undici.Pool(origin, { connections: 4 })
    );
    this.#running = this.#run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.#running;
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  async #run(): Promise<void> {
    const { servers } = this.#options;
    const start = performance.now();
    const { signal } = this.#stopping;
    for (let turn = 0; !signal.aborted; turn += 1) {
      const dueMs = start + turn * INTERVAL_MS / servers;
      const restMs = dueMs - performance.now();
      if (restMs > 1) {
        await timers.setTimeout(restMs, undefined, { signal })
          .catch(() => undefined);
      }
      void this.#announce(turn % servers, Math.floor(turn / servers));
    }
  }

  async #announce(server: number, sequence: number): Promise<void> {
    const pool = this.#pools[server % this.#pools.length] as undici.Pool;
    const running = this.#options.isBusy ? (sequence * 7 + server) % 16 : 0;
    try {
      const answer = await pool.request({
        method: "POST",
        path: "/v1/backend-servers/announcements",
        headers: {
          "authorization": `Bearer ${this.#token}`,
          "content-type": "application/json",
        },
        body: JSON.stringify(announcement(server, sequence + 1, running)),
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      await answer.body.dump();
      if (answer.statusCode < 300) this.accepted += 1;
      else this.refused += 1;
    } catch {
      this.refused += 1;
    }
  }
}

/** An announcement of an engine with a small cache. */
export function announcement(
  server: number,
  sequence: number,
  running: number,
): backend.Announcement {
  return {
    id: `server-${server}`,
    incarnation: "i1",
    address: `http://127.0.0.1:${10_000 + server % 50_000}`,
    failureDomain: `fd-${server % 4 + 1}`,
    kind: "engine",
    services: ["bench"],
    memoryBytes: MEMORY_BYTES,
    loaded: [],
    cached: Array.from({ length: 4 }, (_, index) => ({
      model: `bench/m${(server + index) % 100}`,
      version: "1",
      place: "disk" as const,
    })),
    concurrency: 16,
    running,
    queued: 0,
    checksFencing: true,
    leaving: false,
    sequence,
  };
}
