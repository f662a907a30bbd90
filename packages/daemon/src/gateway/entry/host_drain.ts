import * as core from "@ebonypath/core";
import * as log from "../../log/mod.ts";
import type * as types from "./types.ts";

const write = log.createLog("drain");

/** Ends the requests of an entry host before the host ends. */
export class HostDrain implements Disposable {
  readonly #runTimes = new core.queue.RunTimes();
  readonly #endCallbacks = new Set<() => void>();
  #state: core.queue.DrainState | undefined;
  #isOver = false;
  #timer: NodeJS.Timeout | undefined;

  /**
   * Begins to refuse what cannot end in time.
   *
   * @param endsAt monotonic time at which what still runs ends, in milliseconds
   */
  begin(endsAt: number): void {
    this.#state = { endsAt, isListening: true };
    // A timer drops the fraction of its delay.
    const delayMs = Math.ceil(Math.max(0, endsAt - performance.now()));
    this.#timer = setTimeout(() => this.#end(), delayMs);
  }

  /** Records that callers can no longer connect. */
  stopListening(): void {
    if (this.#state === undefined) return;
    this.#state = { ...this.#state, isListening: false };
  }

  /** Decides whether a request may be sent to a server now. */
  decideStart(
    { deadline, route }: types.RequestContext,
    now: number,
  ): core.queue.StartDecision {
    if (this.#state === undefined) {
      return { kind: "start", serverDeadline: deadline };
    }
    return core.queue.decideStart(
      {
        deadline,
        isStream: route.kind === "streaming",
        longestRunMs: this.#runTimes.longest(route.name),
      },
      this.#state,
      now,
    );
  }

  /** Records the time from sending a request to its end, in milliseconds. */
  recordRun({ route }: types.RequestContext, ms: number): void {
    this.#runTimes.record(route.name, ms);
  }

  /** Longest usual run time of a route, in milliseconds, if it is known. */
  longestRunMs(route: string): number | undefined {
    return this.#runTimes.longest(route);
  }

  /** Forgets the run times of all routes but some. */
  retainRoutes(routes: ReadonlySet<string>): void {
    this.#runTimes.retain(routes);
  }

  /**
   * Calls back when what still runs has to end, or at once if it had to before.
   * Returns a function that withdraws the callback.
   */
  onEnd(callback: () => void): () => void {
    if (this.#isOver) {
      callback();
      return () => {};
    }
    this.#endCallbacks.add(callback);
    return () => this.#endCallbacks.delete(callback);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.#timer);
  }

  #end(): void {
    this.#isOver = true;
    write("ending-requests", { open: this.#endCallbacks.size });
    for (const callback of this.#endCallbacks) callback();
    this.#endCallbacks.clear();
  }
}
