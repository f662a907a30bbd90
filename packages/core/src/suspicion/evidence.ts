/**
 * Evidence that an attribute of requests crashes servers.
 *
 * @module
 */

/**
 * Shortest time in which a crash under a request is told from one before it, in
 * milliseconds.
 */
const MIN_EXPOSURE_MS = 10;

/** A crash of a server. */
export type Crash = {
  readonly id: string;
  readonly server: string;
  /** Monotonic time, in milliseconds. */
  at: number;
  /** Time of the first report, in milliseconds. */
  readonly reportedAt: number;
  /** Fingerprints of the attributes of the requests in flight. */
  readonly attributes: Set<string>;
  /** Fingerprints of the attributes in quarantine that explain it. */
  readonly explanations: Set<string>;
};

/** Requests with an attribute that were in flight at a crash. */
type Exposure = {
  readonly crash: Crash;
  /** Times at which the first and the last of them began, in milliseconds. */
  firstAt: number;
  lastAt: number;
  /** Whether one of them ran isolated from other suspects. */
  isIsolated: boolean;
  /** Whether it then had no other suspected attribute either. */
  isAlone: boolean;
  /** Other attributes of the requests that ran so. */
  readonly companions: Set<string>;
  /** Fingerprints of the requests. */
  readonly requests: Set<string>;
};

/** A request in flight at a crash. */
export type ExposedRequest = {
  readonly fingerprint: string;
  readonly beganAt: number;
  /** Whether it ran isolated from other suspects. */
  readonly isIsolated: boolean;
  /** Whether it then had no other suspected attribute either. */
  readonly isAlone: boolean;
  /** Fingerprints of its other attributes. */
  readonly companions: readonly string[];
};

/** What the crashes on record say of an attribute. */
export type EvidenceSummary = {
  /**
   * Crashes that are independent of each other: each with a request that began
   * after the one before. Servers that lose power together count once.
   */
  readonly count: number;
  /** Crashes that no other attribute explains. */
  readonly unexplainedCount: number;
  readonly serverCount: number;
  /** Whether a server crashed while it ran isolated. */
  readonly hasCrashedIsolated: boolean;
};

/**
 * The crashes under requests with one attribute since the last such request that
 * ran without a crash.
 *
 * @example
 * ```ts
 * evidence.add(crash, exposedRequest);
 * evidence.recordSound(crash.at + 1);
 * evidence.isEmpty; // true
 * ```
 */
export class Evidence {
  readonly #exposures = new Map<string, Exposure>();

  get isEmpty(): boolean {
    return this.#exposures.size === 0;
  }

  /** Number of crashes. */
  get size(): number {
    return this.#exposures.size;
  }

  get crashes(): Crash[] {
    return [...this.#exposures.values()].map(({ crash }) => crash);
  }

  /**
   * Crashes at which the attribute was the only one suspected, with the other
   * attributes of the requests.
   */
  get crashesAlone(): Pick<Exposure, "companions" | "crash">[] {
    return [...this.#exposures.values()].filter(({ isAlone }) => isAlone);
  }

  add(crash: Crash, request: ExposedRequest): void {
    const { beganAt, companions, fingerprint, isAlone, isIsolated } = request;
    const exposure = this.#exposures.get(crash.id) ?? {
      crash,
      firstAt: beganAt,
      lastAt: beganAt,
      isIsolated,
      isAlone,
      companions: new Set<string>(),
      requests: new Set<string>(),
    };
    this.#exposures.set(crash.id, exposure);
    for (const companion of isAlone ? companions : []) {
      exposure.companions.add(companion);
    }
    exposure.firstAt = Math.min(exposure.firstAt, beganAt);
    exposure.lastAt = Math.max(exposure.lastAt, beganAt);
    exposure.isIsolated ||= isIsolated;
    exposure.isAlone ||= isAlone;
    exposure.requests.add(fingerprint);
  }

  remove(crashId: string): void {
    this.#exposures.delete(crashId);
  }

  /**
   * Records that a request ran without a crash. It contradicts the crashes from
   * before it began.
   *
   * @param beganAt monotonic time, in milliseconds
   */
  recordSound(beganAt: number): void {
    for (const { crash } of this.#exposures.values()) {
      if (crash.at < beganAt) this.#exposures.delete(crash.id);
    }
  }

  /** @param fingerprint that of the attribute */
  summarize(fingerprint: string): EvidenceSummary {
    const exposures = [...this.#exposures.values()];
    return {
      count: selectIndependent(exposures).length,
      unexplainedCount:
        exposures.filter(({ crash: { explanations } }) =>
          explanations.size === 0 || explanations.has(fingerprint)
        ).length,
      serverCount: new Set(exposures.map(({ crash }) => crash.server)).size,
      hasCrashedIsolated: exposures.some(({ isIsolated }) => isIsolated),
    };
  }

  has(crash: Crash): boolean {
    return this.#exposures.has(crash.id);
  }

  /**
   * Probability that crashes for other causes meet these requests as early as
   * they did, by Fisher's method over the independent ones.
   *
   * @param crashRate crashes of one server for other causes, per millisecond
   */
  chance(crashRate: number): number {
    const exposures = selectIndependent([...this.#exposures.values()]);
    const logProduct = exposures.reduce((sum, { crash, firstAt }) => {
      const ranMs = Math.max(MIN_EXPOSURE_MS, crash.at - firstAt);
      return sum + Math.log1p(-Math.exp(-crashRate * ranMs));
    }, 0);
    let term = 1;
    let total = 0;
    for (let index = 0; index < exposures.length; index += 1) {
      total += term;
      term *= -logProduct / (index + 1);
    }
    return Math.min(1, Math.exp(logProduct) * total);
  }

  /** Whether it has all crashes of other evidence, and more. */
  exceeds(other: Evidence): boolean {
    return this.#exposures.size > other.#exposures.size && this.covers(other);
  }

  /** Whether both are about the same requests at the same crashes. */
  isInseparableFrom(other: Evidence): boolean {
    return this.#exposures.size === other.#exposures.size &&
      [...this.#exposures].every(([id, { requests }]) => {
        const others = other.#exposures.get(id)?.requests;
        return others !== undefined && others.size === requests.size &&
          [...requests].every((request) => others.has(request));
      });
  }

  /** Whether it has all crashes of other evidence. */
  covers(other: Evidence): boolean {
    return [...other.#exposures.keys()].every((id) => this.#exposures.has(id));
  }
}

/** Selects exposures that each began after the crash before. */
function selectIndependent(exposures: readonly Exposure[]): Exposure[] {
  const inOrder = exposures.toSorted((one, other) =>
    one.crash.at - other.crash.at
  );
  let lastCrashAt = -Infinity;
  return inOrder.filter(({ crash, lastAt }) => {
    if (lastAt < lastCrashAt) return false;
    lastCrashAt = crash.at;
    return true;
  });
}
