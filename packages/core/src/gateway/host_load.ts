/** Time over which the use of a host is measured, in milliseconds. */
export const LOAD_WINDOW_MS = 1_000;
/**
 * Gap between two measurements after which the ones before say nothing, in ms:
 * the host was suspended, or stood still.
 */
const MAX_GAP_MS = 3 * LOAD_WINDOW_MS;
/**
 * Measurements in a row after which new connections are handed on, and requests
 * refused. A process that has just begun may be busy for as long.
 */
const HAND_ON_WINDOWS = 2;
const REFUSE_WINDOWS = 3;
/** Use below which a host takes new connections again, from 0 to 1. */
const RELIEVED_USE = 0.6;
/**
 * Longest time for which a host hands on without a pause, in milliseconds, and
 * the pause. So no more than a third of the hosts hand on at a time, on average,
 * even if all are as busy; a host doesn't know the use of the others.
 */
const MAX_HANDING_ON_MS = 5_000;
const PAUSE_MS = 10_000;
/** Factor of what is admitted, after each window in which the host is full. */
const BACKOFF_FACTOR = 0.7;
/** Use below which more is admitted, and how much after each window. */
const RECOVERED_USE = 0.85;
const RECOVERY_STEP = 0.1;
/** Fraction of the requests that are admitted however full the host is. */
const MIN_ADMITTED = 0.2;

/** Longest time after which a refused caller should come back, in ms. */
const MAX_RETURN_MS = 4_000;

/** Fractions that a host uses of what it has, from 0 to 1. */
export type HostUse = {
  /** Time in which the process did anything. */
  readonly processor: number;
  /** Memory for bodies and responses. */
  readonly memory: number;
  /** Callers' connections. */
  readonly connections: number;
  /** Bandwidth; 0 where it is not known. */
  readonly link: number;
};

/** What a host can be short of. */
export type HostResource = keyof HostUse;

/** Uses from which on a host takes less, as fractions. */
export type LoadThresholds = {
  /** From which on new connections are handed on to other hosts. */
  readonly handOn: number;
  /** From which on some requests are refused. */
  readonly refuse: number;
};

/**
 * Hosts don't hand on unless they are told to: each decides by itself, so that at
 * a crest all of them would at the same time. They don't refuse either: a process
 * that is busy all the time, for instance with the answers of a faulty server, may
 * still serve others within milliseconds.
 */
export const DEFAULT_LOAD_THRESHOLDS: LoadThresholds = {
  handOn: Infinity,
  refuse: Infinity,
};

/** What a host does about its load. */
export type HostLoadState = {
  /** Whether the balancer is to send new connections elsewhere. */
  readonly isHandingOn: boolean;
  /** Fraction of the requests that are admitted. */
  readonly admitted: number;
  /** What the host uses most of, and how much. */
  readonly resource: HostResource;
  readonly use: number;
  /** What requests are refused for, if any are. */
  readonly fullest: HostResource;
};

/**
 * Decides what a host does that is near a limit of its own: first it hands on new
 * connections if it is told to, then it refuses part of the requests at once, and
 * less of them step by step when it is relieved.
 *
 * @example
 * ```ts
 * const load = new HostLoad();
 * load.update({ processor: 0.9, memory: 0, connections: 0.2, link: 0 }, now);
 * if (!load.tryAdmit()) return refuse(503);
 * ```
 */
export class HostLoad {
  readonly #thresholds: LoadThresholds;
  #state: HostLoadState = {
    isHandingOn: false,
    admitted: 1,
    resource: "processor",
    use: 0,
    fullest: "processor",
  };
  #updatedAt = -Infinity;
  /** Windows in a row with a use above each threshold. */
  #nearWindows = 0;
  #fullWindows = 0;
  #handingOnSince = -Infinity;
  /** Monotonic time before which nothing is handed on, in milliseconds. */
  #pausedUntil = -Infinity;
  /** Admissions that are left over from earlier requests. */
  #credit = 0;

  constructor(thresholds = DEFAULT_LOAD_THRESHOLDS) {
    this.#thresholds = thresholds;
  }

  get state(): HostLoadState {
    return this.#state;
  }

  /**
   * Takes the use of one window into account.
   *
   * @param now monotonic time, in milliseconds
   * @returns whether what the host does has changed
   */
  update(use: HostUse, now: number): boolean {
    const [resource, most] = scarcest(use);
    // Connections may be idle, and refusals wouldn't free any.
    const [fullest, full] = scarcest({ ...use, connections: 0 });
    const { handOn, refuse } = this.#thresholds;
    if (now - this.#updatedAt > MAX_GAP_MS) {
      this.#nearWindows = 0;
      this.#fullWindows = 0;
      // The measurement spans the gap.
      this.#updatedAt = now;
      return false;
    }
    this.#updatedAt = now;
    this.#nearWindows = most >= handOn ? this.#nearWindows + 1 : 0;
    this.#fullWindows = full >= refuse ? this.#fullWindows + 1 : 0;
    const { admitted, isHandingOn } = this.#state;
    this.#state = {
      isHandingOn: this.#decideHandingOn(most, now),
      admitted: this.#decideAdmitted(full),
      resource,
      use: most,
      fullest,
    };
    return isHandingOn !== this.#state.isHandingOn ||
      admitted !== this.#state.admitted;
  }

  /** Whether a request that arrives now is admitted. */
  tryAdmit(): boolean {
    const { admitted } = this.#state;
    if (admitted === 1) return true;
    this.#credit += admitted;
    if (this.#credit < 1) return false;
    this.#credit -= 1;
    return true;
  }

  /**
   * Time after which a refused caller should come back, in milliseconds: the
   * longer, the less is admitted, and 4 s at most.
   */
  get returnMs(): number {
    const { admitted } = this.#state;
    return Math.min(MAX_RETURN_MS, Math.ceil(LOAD_WINDOW_MS / admitted));
  }

  #decideHandingOn(use: number, now: number): boolean {
    if (this.#state.isHandingOn) {
      const isOver = now - this.#handingOnSince >= MAX_HANDING_ON_MS;
      if (use >= RELIEVED_USE && !isOver) return true;
      this.#pausedUntil = now + PAUSE_MS;
      return false;
    }
    const isDue = this.#nearWindows >= HAND_ON_WINDOWS;
    if (!isDue || now < this.#pausedUntil) return false;
    this.#handingOnSince = now;
    return true;
  }

  #decideAdmitted(use: number): number {
    const { admitted } = this.#state;
    if (this.#fullWindows >= REFUSE_WINDOWS) {
      return Math.max(MIN_ADMITTED, admitted * BACKOFF_FACTOR);
    }
    return use < Math.min(RECOVERED_USE, this.#thresholds.refuse)
      ? Math.min(1, admitted + RECOVERY_STEP)
      : admitted;
  }
}

function scarcest(use: HostUse): [HostResource, number] {
  const entries = Object.entries(use) as [HostResource, number][];
  return entries.reduce((most, entry) => entry[1] > most[1] ? entry : most);
}
