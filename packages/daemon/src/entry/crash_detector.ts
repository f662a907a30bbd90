/**
 * Tells a dead backend server from a dead connection after a failed try, and
 * reports what was in flight at a death.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import type * as backend from "../backend/mod.ts";
import type * as host from "../host/mod.ts";
import * as log from "../log/mod.ts";
import type * as attempts from "./attempt.ts";
import type * as types from "./types.ts";

const write = log.createLog("deaths");

/** Failed tries remembered until their server shows a new start. */
const MAX_UNEXPLAINED = 1_024;
/** A new start of a server explains failures of this age, in milliseconds. */
const UNEXPLAINED_MS = 5_000;

/** What examining failed tries needs. */
export interface CrashDetectorOptions {
  readonly client: Pick<
    backend.InferenceClient,
    "probe" | "retireConnections"
  >;
  readonly suspects: core.suspicion.HostSuspects;
  readonly state: host.FleetState;
  /** Asks for an exchange: the leader must hear of a death soon. */
  requestExchange(): void;
}

interface Failure {
  readonly server: protocol.control.ServerStatus;
  readonly work: types.Work;
  readonly at: number;
}

/** Examines failed tries of an entry host. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Failures at servers that answered a probe, oldest first. */
  #unexplained: Failure[] = [];

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    options.state.on("change", () => this.#explain());
  }

  /**
   * Probes the server of a failed try on a new connection, before the request
   * is sent anywhere else. Never rejects.
   */
  async checkFailure(
    server: protocol.control.ServerStatus,
    work: types.Work,
    result: attempts.AttemptResult,
  ): Promise<void> {
    if (result.kind !== "failed" || !result.bytesSent) return;
    if (result.fault === "cancelled" || result.fault === "too-large") return;
    const { client } = this.#options;
    const probe = await client.probe({
      id: server.id,
      address: server.address,
    });
    const failure = { server, work, at: performance.now() };
    if (probe.kind === "dead") return this.#report(failure);
    // The server lives: the connection was dead, or the process is a new one.
    client.retireConnections({ id: server.id, address: server.address });
    // A server that is only slow has not died of the request.
    if (result.fault === "first-byte-timeout") return;
    if (result.fault === "silent") return;
    this.#unexplained.push(failure);
    this.#unexplained = this.#unexplained.slice(-MAX_UNEXPLAINED);
    this.#explain();
  }

  /** A new incarnation shows that the former one has died. */
  #explain(): void {
    if (this.#unexplained.length === 0) return;
    const now = performance.now();
    const { servers } = this.#options.state;
    const isNewStart = ({ server }: Failure) => {
      const known = servers.get(server.id);
      return known !== undefined && known.incarnation !== server.incarnation;
    };
    const explained = this.#unexplained.filter(isNewStart);
    this.#unexplained = this.#unexplained.filter((failure) =>
      !isNewStart(failure) && now - failure.at < UNEXPLAINED_MS
    );
    for (const failure of explained) this.#report(failure);
  }

  #report({ server, work, at }: Failure): void {
    write("server-died", {
      server: server.id,
      incarnation: server.incarnation,
      request: work.requestId,
    });
    const inFlight = [{
      fingerprint: work.fingerprint,
      workspace: work.workspace ?? OPEN_WORKSPACE,
      model: work.target,
    }];
    this.#options.suspects.recordCrash(
      server.id,
      server.incarnation,
      inFlight,
      at,
    );
    this.#options.requestExchange();
  }
}

/** Stands for the workspace of requests on open routes. */
const OPEN_WORKSPACE = "open";
