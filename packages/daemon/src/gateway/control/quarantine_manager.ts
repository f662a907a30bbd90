/**
 * Finds the requests that crash backend servers, and keeps them in quarantine
 * for a time.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import type { gateway, suspicion } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";
import * as suspicionDriver from "../../suspicion/mod.ts";

const write = log.createLog("quarantine");

/** Interval of the checks for requests to quarantine, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Options of a quarantine manager. */
export interface QuarantineManagerOptions {
  readonly state: () => core.gateway.GatewayState;
  /** Number of servers that take requests. */
  serverCount(): number;
  /**
   * Commits a command to the replicated state.
   *
   * @throws {Error} the command may not be committed
   */
  commit(command: gateway.Command): Promise<unknown>;
  /**
   * Commits a change if the state is the one that it is meant for.
   *
   * @throws {Error} the change may not be committed
   */
  commitChange(request: gateway.ChangeRequest): Promise<gateway.ChangeResponse>;
  /** Called when hosts have to know more of the suspects. */
  onChange(): void;
}

/** Suspects and quarantines during one leadership. */
export class QuarantineManager implements Disposable {
  readonly #options: QuarantineManagerOptions;
  readonly #driver: suspicionDriver.SuspicionDriver;
  readonly #releasing = new Set<string>();
  #checkTimer: NodeJS.Timeout | undefined;
  /** Monotonic time until which all hosts report the last crash, in ms. */
  #reportsUntil = 0;

  constructor(options: QuarantineManagerOptions) {
    this.#options = options;
    this.#driver = new suspicionDriver.SuspicionDriver({
      counts: core.suspicion.SHARED_SERVER_CRASH_COUNTS,
      fleet: {
        isQuarantined: (fingerprint) =>
          options.state().isQuarantined(fingerprint),
        serverCount: () => options.serverCount(),
      },
      quarantine: (request) =>
        options.commit({
          kind: "quarantine",
          ...request,
          untilMs: Date.now() + core.suspicion.QUARANTINE_MS,
        }),
    });
  }

  /** Increases when what hosts have to know of suspects changes. */
  get revision(): number {
    return this.#driver.revision;
  }

  /** Whether a host has to know more of the suspects or quarantines. */
  hasNewsFor(
    { quarantineRevision, suspectRevision }: gateway.WatchRequest,
  ): boolean {
    const { state } = this.#options;
    // Hosts of an earlier build know neither.
    return (quarantineRevision !== undefined &&
      quarantineRevision !== state().quarantineRevision) ||
      (suspectRevision !== undefined && suspectRevision !== this.revision);
  }

  /** Takes a host's reports; returns the suspects that it runs only isolated. */
  exchange(
    { host, suspicions = [] }: gateway.ReportRequest,
    now: number,
  ): Pick<gateway.ReportResponse, "suspectRevision" | "watched"> {
    const { revision } = this;
    const watched = this.#driver.exchange(host, suspicions, now);
    for (const report of suspicions) {
      if (report.kind === "death") this.#onCrash(host, report, now);
    }
    if (this.revision !== revision) this.#onRevision();
    return this.revision === 0
      ? {}
      : { watched, suspectRevision: this.revision };
  }

  /** Drops the suspects that are in quarantine by now. */
  onStateChange(): void {
    for (const { fingerprint } of this.#options.state().quarantines) {
      this.#driver.forget(fingerprint);
    }
  }

  /** Ends the quarantines that are over by a wall-clock time, in milliseconds. */
  expire(timeMs: number): void {
    const { commitChange, state } = this.#options;
    const { quarantineRevision: basis, quarantines } = state();
    for (const { fingerprint, untilMs } of quarantines) {
      if (untilMs > timeMs || this.#releasing.has(fingerprint)) continue;
      this.#releasing.add(fingerprint);
      const change = { kind: "release-quarantine", fingerprint } as const;
      // If it is superseded the next check finds the quarantine as it is then.
      commitChange({ change, basis }).then(
        ({ kind }) => write("ended", { fingerprint, kind }),
        (error: unknown) => write("not-ended", { fingerprint, error }),
      ).finally(() => this.#releasing.delete(fingerprint));
    }
  }

  /** The list for a host that knows another revision of it. */
  listFor(revision: number | undefined): gateway.Quarantines | undefined {
    const state = this.#options.state();
    if (revision === undefined || state.quarantineRevision === revision) {
      return undefined;
    }
    return listQuarantines(state);
  }

  [Symbol.dispose](): void {
    timers.clearInterval(this.#checkTimer);
  }

  #onCrash(
    host: string,
    report: Extract<suspicion.SuspicionReport, { kind: "death" }>,
    now: number,
  ): void {
    const { inFlight, incarnation, server } = report;
    write("server-crashed", {
      host,
      server,
      incarnation,
      fingerprints: inFlight.map(({ fingerprint }) => fingerprint).join(","),
      attributes: describeAttributes(inFlight),
    });
    this.#reportsUntil = now + core.suspicion.SEPARATION_MS;
    this.#checkTimer ??= timers.setInterval(
      () => this.#check(),
      CHECK_INTERVAL_MS,
    );
  }

  #onRevision(): void {
    write("suspects-changed", { revision: this.revision });
    this.#options.onChange();
  }

  #check(): void {
    const { revision } = this;
    const now = performance.now();
    this.#driver.run(now);
    if (this.revision !== revision) this.#onRevision();
    if (now <= this.#reportsUntil || this.#driver.hasWatchedSuspects) return;
    timers.clearInterval(this.#checkTimer);
    this.#checkTimer = undefined;
  }
}

/** Names of all that requests may have in common. */
function describeAttributes(
  requests: readonly suspicion.InFlightRequest[],
): string | undefined {
  const names = requests.flatMap(({ attributes = [] }) =>
    attributes.map(({ kind, name }) => `${kind}:${name}`)
  );
  return names.length === 0 ? undefined : [...new Set(names)].join(" ");
}

/** The requests in quarantine, with the time until their ends. */
export function listQuarantines(
  { quarantineRevision, quarantines }: Pick<
    core.gateway.GatewayState,
    "quarantineRevision" | "quarantines"
  >,
): gateway.Quarantines {
  return {
    revision: quarantineRevision,
    requests: quarantines.map(({ fingerprint, untilMs }) => ({
      fingerprint,
      remainingMs: Math.max(0, untilMs - Date.now()),
    })),
  };
}
