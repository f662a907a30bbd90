import type { gateway } from "@ebonypath/protocol";

/**
 * Windows that a host keeps until they are closed. At 5 s a window these are
 * five minutes without a leader.
 */
export const MAX_OPEN_WINDOWS = 64;
/** Time for which counts wait for a report that is sent anyway, in ms. */
const REPORT_DELAY_MS = 1_000;

type Counter = {
  readonly window: number;
  readonly workspace: string;
  count: number;
  /** Count in the last report that a leader has answered. */
  acknowledged: number;
  /** Term of that leader. */
  term: number;
  /** Monotonic time since which a part is not reported, in milliseconds. */
  newSince: number;
};

/**
 * Counts on a host the requests that servers began to run, by window and
 * workspace. What it reports is the whole count since the host started: a report
 * whose answer was lost is repeated without being counted twice.
 *
 * The time of day is that of most hosts once a leader has told it, and then runs
 * with the monotonic clock, so that a step of the host's own clock moves nothing.
 *
 * @example
 * ```ts
 * counter.count("shop", performance.now());
 * const report = counter.changes(term);
 * counter.acknowledge(report, term);
 * ```
 */
export class BegunCounter {
  readonly #windowMs: number;
  readonly #windows = new Map<number, Map<string, Counter>>();
  #closedWindow = -1;
  #offsetMs: number;
  /** Requests that are not counted, because their window was closed. */
  late = 0;
  /** Counts that were dropped because no leader has closed their window. */
  dropped = 0;

  /** @param offsetMs own time of day minus monotonic time, in milliseconds */
  constructor(windowMs: number, offsetMs: number) {
    this.#windowMs = windowMs;
    this.#offsetMs = offsetMs;
  }

  /** Counts a request that a server has begun now. */
  count(workspace: string, now: number): void {
    const window = Math.floor((now + this.#offsetMs) / this.#windowMs);
    if (window <= this.#closedWindow) {
      this.late += 1;
      return;
    }
    const counters = this.#countersOf(window);
    const counter = counters.get(workspace) ?? {
      window,
      workspace,
      count: 0,
      acknowledged: 0,
      term: 0,
      newSince: Infinity,
    };
    counters.set(workspace, counter);
    counter.count += 1;
    counter.newSince = Math.min(counter.newSince, now);
  }

  /** Whether counts have waited long enough for a report of their own. */
  hasNews(now: number): boolean {
    return this.#counters().some(({ newSince }) =>
      now - newSince >= REPORT_DELAY_MS
    );
  }

  /** Counts that the leader of a term lacks. */
  changes(term: number): gateway.WindowCount[] {
    return this.#counters()
      .filter((counter) =>
        counter.term !== term || counter.count > counter.acknowledged
      )
      .map(({ count, window, workspace }) => ({ window, workspace, count }));
  }

  /** Records that a leader has answered a report with these counts. */
  acknowledge(
    reported: readonly gateway.WindowCount[],
    term: number,
    now: number,
  ): void {
    for (const { count, window, workspace } of reported) {
      const counter = this.#windows.get(window)?.get(workspace);
      if (counter === undefined) continue;
      counter.acknowledged = count;
      counter.term = term;
      counter.newSince = counter.count > count ? now : Infinity;
    }
  }

  /**
   * Takes over what the leader tells.
   *
   * @param requestedAt monotonic time at which it was asked, in milliseconds
   */
  applyAnswer(
    { closedWindow, fleetTimeMs }: Pick<
      gateway.ReportResponse,
      "closedWindow" | "fleetTimeMs"
    >,
    requestedAt: number,
    now: number,
  ): void {
    if (fleetTimeMs !== undefined) {
      this.#offsetMs = fleetTimeMs - (requestedAt + now) / 2;
    }
    if (closedWindow === undefined) return;
    this.#closedWindow = Math.max(this.#closedWindow, closedWindow);
    for (const window of [...this.#windows.keys()]) {
      if (window <= this.#closedWindow) this.#windows.delete(window);
    }
  }

  #counters(): Counter[] {
    return [...this.#windows.values()].flatMap((counters) => [
      ...counters.values(),
    ]);
  }

  #countersOf(window: number): Map<string, Counter> {
    const known = this.#windows.get(window);
    if (known !== undefined) return known;
    const counters = new Map<string, Counter>();
    this.#windows.set(window, counters);
    if (this.#windows.size > MAX_OPEN_WINDOWS) this.#dropEarliest();
    return counters;
  }

  #dropEarliest(): void {
    const earliest = Math.min(...this.#windows.keys());
    for (const { count } of this.#windows.get(earliest)?.values() ?? []) {
      this.dropped += count;
    }
    this.#windows.delete(earliest);
  }
}
