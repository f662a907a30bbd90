/**
 * Finds out whether the replicated state that an entry host has is current, from
 * any majority of the control hosts. It needs no leader.
 *
 * @module
 */
import * as timers from "node:timers/promises";
import * as core from "@ebonypath/core";
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../../fleet/mod.ts";
import * as log from "../../log/mod.ts";
import type * as metrics from "../metrics.ts";
import * as clocks from "./clocks.ts";
import type * as fleetView from "./fleet_view.ts";

const write = log.createLog("follower");

/** Time limit of an attempt, and of each call in it, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1_000;
/** First pause between two rounds of an attempt, in ms: a leader's heartbeat. */
const FIRST_PAUSE_MS = core.replication.DEFAULT_SETTINGS.heartbeatMs;
/** Part of a pause by which it varies, so that hosts don't ask together. */
const JITTER = 0.25;
/** Interval of attempts that do not confirm the state, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;
/** Time for which the outcome of an attempt stands for requests, in ms. */
const OUTCOME_LIFETIME_MS = RETRY_INTERVAL_MS + ATTEMPT_TIMEOUT_MS + 500;
/** Time that the leader has to give the first state, in milliseconds. */
const FIRST_STATE_DELAY_MS = 500;
/** Shortest time until the age is looked at again, in milliseconds. */
const MIN_AGE_CHECK_MS = 20;

/** Whether the state that this host has may be acted on. */
export type Confirmation =
  /** It was in force when the attempt began. */
  | "current"
  /** A later state may be in force, which this host could not get. */
  | "behind"
  /**
   * Too few control hosts have answered, or none of them knows a leader: no
   * other state is acknowledged meanwhile.
   */
  | "unknown";

/** A control host that has answered, and what it has told. */
type Answer = {
  readonly address: string;
  readonly position: gateway.PositionResponse;
};

/** Dependencies of a `StateConfirmer`. */
export interface StateConfirmerOptions {
  readonly rpc: Pick<fleet.RpcClient, "call">;
  /** Fleet addresses of the control hosts. */
  controlHosts(): readonly string[];
  /** Called with the addresses of the control hosts, as one of them knows. */
  onControlHosts(addresses: readonly string[]): void;
  readonly view: fleetView.FleetView;
  /**
   * Age of the state from which on it is confirmed, in milliseconds. The leader's
   * answers confirm it about once a second.
   */
  readonly confirmationAgeMs: number;
  readonly metrics: Pick<metrics.GatewayMetrics, "confirmations">;
}

/**
 * Confirms the state of a view once it is too old. Attempts are shared by all
 * that wait for one.
 *
 * @example
 * ```ts
 * using confirmer = new StateConfirmer(options);
 * confirmer.start();
 * if (await confirmer.confirm() === "behind") refuse();
 * ```
 */
export class StateConfirmer implements Disposable {
  readonly #options: StateConfirmerOptions;
  readonly #disposed = new AbortController();
  #attempt: Promise<Confirmation> | undefined;
  #last: Confirmation = "unknown";
  /** Monotonic time of the end of the last attempt, in milliseconds. */
  #endedAt = -Infinity;

  constructor(options: StateConfirmerOptions) {
    this.#options = options;
  }

  /** Starts to confirm the state whenever it is too old. */
  start(): void {
    void this.#run();
  }

  /**
   * Confirms the state, or fetches a later one. A host that is cut off does not
   * wait for each attempt: they go on in the background.
   */
  confirm(): Promise<Confirmation> {
    const sinceMs = performance.now() - this.#endedAt;
    if (this.#last === "unknown" && sinceMs < OUTCOME_LIFETIME_MS) {
      return Promise.resolve("unknown");
    }
    const isResting = this.#attempt === undefined &&
      this.#last === "behind" && sinceMs < RETRY_INTERVAL_MS / 2;
    return isResting ? Promise.resolve("behind") : this.#confirmNow();
  }

  [Symbol.dispose](): void {
    this.#disposed.abort();
  }

  #confirmNow(): Promise<Confirmation> {
    this.#attempt ??= this.#confirmInRounds().then((confirmation) => {
      this.#record(confirmation);
      return confirmation;
    }).finally(() => this.#attempt = undefined);
    return this.#attempt;
  }

  async #run(): Promise<void> {
    const { confirmationAgeMs, view } = this.#options;
    const remainingMs = () =>
      confirmationAgeMs - view.configurationAgeMs(clocks.readClocks());
    // The leader's first answer brings more than the control hosts can tell.
    await this.#sleep(FIRST_STATE_DELAY_MS);
    while (!this.#disposed.signal.aborted) {
      const delayMs = remainingMs();
      if (delayMs > 0) {
        await this.#sleep(Math.max(MIN_AGE_CHECK_MS, delayMs));
        continue;
      }
      await this.#confirmNow();
      if (remainingMs() <= 0) await this.#sleep(RETRY_INTERVAL_MS);
    }
  }

  /** Asks until the state is confirmed, cannot be, or time is over. */
  async #confirmInRounds(): Promise<Confirmation> {
    const deadline = performance.now() + ATTEMPT_TIMEOUT_MS;
    let pauseMs = FIRST_PAUSE_MS;
    while (true) {
      const confirmation = await this.#confirmOnce(deadline);
      const delayMs = pauseMs * (1 + JITTER * (2 * Math.random() - 1));
      const isOver = performance.now() + delayMs >= deadline ||
        this.#disposed.signal.aborted;
      if (confirmation !== "behind" || isOver) return confirmation;
      await this.#sleep(delayMs);
      pauseMs *= 2;
    }
  }

  async #confirmOnce(deadline: number): Promise<Confirmation> {
    const { view } = this.#options;
    const requestedAt = clocks.readClocks();
    const answers = await this.#askControlHosts(deadline);
    const positions = answers.map(({ position }) => position);
    const isReplaced = answers.some((answer) => this.#isAhead(answer));
    if (isReplaced) await this.#fetchState(answers, deadline);
    const verdict = core.gateway.judgeState(view.stateIndex, positions);
    if (verdict === "current" && view.configuration !== null) {
      view.confirm(requestedAt);
    }
    if (verdict === "current") return verdict;
    // One host that has applied a later state is enough to know of it.
    if (isReplaced) return "behind";
    const hasLeader = answers.some(({ position }) => position.hasLeader);
    return hasLeader ? verdict : "unknown";
  }

  /**
   * Asks all control hosts at once. Resolves when they have answered, or when
   * those that have are enough to confirm the state or know a later one.
   */
  async #askControlHosts(deadline: number): Promise<Answer[]> {
    const { controlHosts, onControlHosts, view } = this.#options;
    const answers: Answer[] = [];
    const addresses = controlHosts();
    await new Promise<void>((resolve) => {
      const calls = addresses.map(async (address) => {
        const position = await this.#call(
          address,
          gateway.METHODS.position,
          gateway.PositionResponse,
          deadline,
        );
        if (position === undefined) return;
        const answer = { address, position };
        answers.push(answer);
        const positions = answers.map(({ position }) => position);
        const verdict = core.gateway.judgeState(view.stateIndex, positions);
        if (verdict === "current" || this.#isAhead(answer)) resolve();
      });
      void Promise.all(calls).then(() => resolve());
    });
    const known = answers.find(({ position }) =>
      position.voters.includes(position.member)
    );
    if (known !== undefined) onControlHosts(known.position.controlHosts);
    return [...answers];
  }

  /** Whether a control host has applied a later state, which is committed. */
  #isAhead({ position }: Answer): boolean {
    return position.stateIndex > this.#options.view.stateIndex;
  }

  /** Gets the state of the control host that has applied most. */
  async #fetchState(
    answers: readonly Answer[],
    deadline: number,
  ): Promise<void> {
    const { view } = this.#options;
    const [best] = answers.toSorted((one, other) =>
      other.position.stateIndex - one.position.stateIndex
    );
    if (best === undefined) return;
    const state = await this.#call(
      best.address,
      gateway.METHODS.state,
      gateway.HostState,
      deadline,
    );
    if (state === undefined) return;
    if (view.applyState(state, performance.now())) {
      write("state-fetched", { peer: best.address, index: state.index });
    }
  }

  /** Calls a control host; undefined if it gives no answer. */
  async #call<Schema extends v.GenericSchema>(
    address: string,
    method: string,
    schema: Schema,
    deadline: number,
  ): Promise<v.InferOutput<Schema> | undefined> {
    const timeoutMs = Math.max(1, deadline - performance.now());
    try {
      const answer = await this.#options.rpc.call(
        address,
        method,
        {},
        timeoutMs,
      );
      return v.parse(schema, answer);
    } catch (error) {
      write("no-state", { peer: address, method, error });
      return undefined;
    }
  }

  #record(confirmation: Confirmation): void {
    const { metrics, view } = this.#options;
    metrics.confirmations.inc({ outcome: confirmation });
    this.#endedAt = performance.now();
    if (confirmation !== this.#last) {
      write("confirmation", {
        outcome: confirmation,
        index: view.stateIndex,
        version: view.configuration?.version,
      });
    }
    this.#last = confirmation;
  }

  async #sleep(ms: number): Promise<void> {
    const { signal } = this.#disposed;
    // The timer rejects on disposal, which only ends the wait early.
    await timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
  }
}
