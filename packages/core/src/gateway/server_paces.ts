/**
 * Time constant with which observations of a server are forgotten, in ms. Hosts
 * hear of a pace up to 2 s late, so what is shorter can't be acted on.
 */
const SERVER_MEMORY_MS = 5_000;
/** Likewise for models, whose pace is a property of their weights. */
const MODEL_MEMORY_MS = 60_000;
/** Observations at the usual pace that each server and model starts with. */
const PRIOR_WEIGHT = 2;
/** Factor beyond which one report counts as no slower or faster. */
const MAX_LOG_RATIO = Math.log(3);
/** Weight below which a record says nothing. */
const NEGLIGIBLE_WEIGHT = 0.01;
const PRUNE_INTERVAL_MS = 30_000;

/** Times to the first event, as a host has observed them at one server. */
export type PaceObservation = {
  readonly server: string;
  /** Start of the server, by its wall clock; another one begins anew. */
  readonly born: number;
  readonly model: string;
  readonly count: number;
  /** Sum of the logarithms of the times relative to the expected ones. */
  readonly logRatio: number;
};

/** Weighted sum of log ratios that fades. */
type PaceRecord = {
  born: number;
  sum: number;
  weight: number;
  updatedAt: number;
};

/**
 * Estimates how fast each server is relative to the others of its service, from
 * the observations of all hosts. Models differ in pace too: what a model explains
 * isn't held against the servers that have it.
 *
 * Answers servers that differ and stumble, with a few observations a second each:
 * a server shows as slow after some answers, no single report makes it more than
 * three times slower, and a server without observations returns to pace 1.
 *
 * @example
 * ```ts
 * paces.record({ server: "s1", born, model: "m", count: 2, logRatio: 0.9 }, now);
 * paces.paceOf("s1", born, now); // about 1.25: 1.25 times the usual time
 * ```
 */
export class ServerPaces {
  readonly #servers = new Map<string, PaceRecord>();
  readonly #models = new Map<string, PaceRecord>();
  #prunedAt = -Infinity;

  record(
    { born, count, logRatio, model, server }: PaceObservation,
    now: number,
  ): void {
    if (count <= 0) return;
    const mean = Math.max(
      -MAX_LOG_RATIO,
      Math.min(MAX_LOG_RATIO, logRatio / count),
    );
    const ofServer = recordFor(this.#servers, server, born, now);
    fade(ofServer, SERVER_MEMORY_MS, now);
    const ofModel = recordFor(this.#models, model, 0, now);
    fade(ofModel, MODEL_MEMORY_MS, now);
    const serverLog = logPace(ofServer);
    const modelLog = logPace(ofModel);
    add(ofServer, mean - modelLog, count);
    add(ofModel, mean - serverLog, count);
    this.#prune(now);
  }

  /** Time that a server takes relative to the usual one; 1 if not known. */
  paceOf(server: string, born: number, now: number): number {
    const known = this.#servers.get(server);
    if (known === undefined || known.born !== born) return 1;
    fade(known, SERVER_MEMORY_MS, now);
    return Math.exp(logPace(known));
  }

  #prune(now: number): void {
    if (now - this.#prunedAt < PRUNE_INTERVAL_MS) return;
    this.#prunedAt = now;
    for (const [server, record] of this.#servers) {
      fade(record, SERVER_MEMORY_MS, now);
      if (record.weight < NEGLIGIBLE_WEIGHT) this.#servers.delete(server);
    }
    for (const [model, record] of this.#models) {
      fade(record, MODEL_MEMORY_MS, now);
      if (record.weight < NEGLIGIBLE_WEIGHT) this.#models.delete(model);
    }
  }
}

function recordFor(
  records: Map<string, PaceRecord>,
  name: string,
  born: number,
  now: number,
): PaceRecord {
  const known = records.get(name);
  if (known !== undefined && known.born === born) return known;
  const record = { born, sum: 0, weight: 0, updatedAt: now };
  records.set(name, record);
  return record;
}

function fade(record: PaceRecord, memoryMs: number, now: number): void {
  const retained = Math.exp(-Math.max(0, now - record.updatedAt) / memoryMs);
  record.sum *= retained;
  record.weight *= retained;
  record.updatedAt = now;
}

function add(record: PaceRecord, log: number, count: number): void {
  record.sum += log * count;
  record.weight += count;
}

function logPace({ sum, weight }: PaceRecord): number {
  return sum / (weight + PRIOR_WEIGHT);
}
