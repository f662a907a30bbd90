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

/**
 * Time limit of a call to a control host, in milliseconds. Two thirds of an
 * election's shortest timeout: a host that takes longer does not vote either.
 */
const CALL_TIMEOUT_MS = 400;
/** Time limit of an attempt over all its rounds, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1_000;
/** Pause between two rounds of an attempt, in ms: one heartbeat of a leader. */
const ROUND_DELAY_MS = core.replication.DEFAULT_SETTINGS.heartbeatMs;
/** Interval of attempts that find too few control hosts, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;
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
  /** No majority of the control hosts has answered. */
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
   * Confirms the state, or fetches a later one. An attempt that has just found
   * too few control hosts stands for the next ones.
   */
  confirm(): Promise<Confirmation> {
    const isRecent = performance.now() - this.#endedAt < RETRY_INTERVAL_MS;
    if (this.#attempt === undefined && isRecent && this.#last === "unknown") {
      return Promise.resolve("unknown");
    }
    return this.#confirmNow();
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
      if (remainingMs() <= 0) await this.#confirmNow();
      const delayMs = remainingMs();
      await this.#sleep(
        delayMs > 0 ? Math.max(MIN_AGE_CHECK_MS, delayMs) : RETRY_INTERVAL_MS,
      );
    }
  }

  /** Asks until the state is confirmed, no majority answers or time is over. */
  async #confirmInRounds(): Promise<Confirmation> {
    const deadline = performance.now() + ATTEMPT_TIMEOUT_MS;
    while (true) {
      const confirmation = await this.#confirmOnce();
      const isOver = performance.now() + ROUND_DELAY_MS >= deadline ||
        this.#disposed.signal.aborted;
      if (confirmation !== "behind" || isOver) return confirmation;
      await this.#sleep(ROUND_DELAY_MS);
    }
  }

  async #confirmOnce(): Promise<Confirmation> {
    const { view } = this.#options;
    const requestedAt = clocks.readClocks();
    const answers = await this.#askControlHosts();
    const positions = answers.map(({ position }) => position);
    const judge = () => core.gateway.judgeState(view.stateIndex, positions);
    if (judge() === "behind") await this.#fetchState(answers);
    const verdict = judge();
    if (verdict === "current" && view.configuration !== null) {
      view.confirm(requestedAt);
    }
    return verdict;
  }

  /**
   * Asks all control hosts at once. Resolves when they have answered, or when
   * those that have are enough to confirm the state.
   */
  async #askControlHosts(): Promise<Answer[]> {
    const { controlHosts, onControlHosts, view } = this.#options;
    const answers: Answer[] = [];
    const addresses = controlHosts();
    await new Promise<void>((resolve) => {
      const calls = addresses.map(async (address) => {
        const position = await this.#call(
          address,
          gateway.METHODS.position,
          gateway.PositionResponse,
        );
        if (position === undefined) return;
        answers.push({ address, position });
        const positions = answers.map(({ position }) => position);
        const verdict = core.gateway.judgeState(view.stateIndex, positions);
        if (verdict === "current") resolve();
      });
      void Promise.all(calls).then(() => resolve());
    });
    const known = answers.find(({ position }) =>
      position.voters.includes(position.member)
    );
    if (known !== undefined) onControlHosts(known.position.controlHosts);
    return [...answers];
  }

  /** Gets the state of the control host that has applied most. */
  async #fetchState(answers: readonly Answer[]): Promise<void> {
    const { view } = this.#options;
    const [best] = answers.toSorted((one, other) =>
      other.position.stateIndex - one.position.stateIndex
    );
    if (best === undefined || best.position.stateIndex <= view.stateIndex) {
      return;
    }
    const state = await this.#call(
      best.address,
      gateway.METHODS.state,
      gateway.HostState,
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
  ): Promise<v.InferOutput<Schema> | undefined> {
    try {
      const answer = await this.#options.rpc.call(
        address,
        method,
        {},
        CALL_TIMEOUT_MS,
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
