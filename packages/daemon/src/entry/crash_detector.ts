/**
 * Distinguishes a crashed backend server from a broken connection after a
 * failed attempt, and reports the requests that were in flight at a crash.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import type * as backend from "../backend/mod.ts";
import type * as host from "../host/mod.ts";
import * as log from "../log/mod.ts";
import type * as attempts from "./attempt.ts";
import type * as types from "./types.ts";

const write = log.createLog("deaths");

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly client: Pick<
    backend.InferenceClient,
    "probe" | "retireConnections"
  >;
  readonly suspects: core.suspicion.HostSuspects;
  readonly state: host.FleetState;
  /** Requests an early exchange, to report a crash to the leader. */
  requestExchange(): void;
}

interface Failure {
  readonly server: protocol.control.ServerStatus;
  readonly work: types.Work;
  readonly at: number;
}

/** Detects server crashes from the failed attempts of an entry host. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Failures at servers that answered a probe. */
  readonly #pendingFailures = new core.suspicion.PendingFailures<Failure>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    options.state.on("change", () => this.#reportRestarted());
  }

  /**
   * Probes the server of a failed attempt on a new connection, before the
   * request is sent to another server. Never rejects.
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
    if (probe.kind === "dead") return this.#reportCrash(failure);
    // The server is alive: the connection was broken, or the server restarted.
    client.retireConnections({ id: server.id, address: server.address });
    // A server that is only slow has not crashed from the request.
    if (result.fault === "first-byte-timeout") return;
    if (result.fault === "silent") return;
    this.#pendingFailures.add(failure);
    this.#reportRestarted();
  }

  /** Reports failures whose server has a new incarnation, so it has crashed. */
  #reportRestarted(): void {
    const { servers } = this.#options.state;
    const hasRestarted = ({ server }: Failure) => {
      const current = servers.get(server.id);
      return current !== undefined &&
        current.incarnation !== server.incarnation;
    };
    const restarted = this.#pendingFailures.takeRestarted(
      hasRestarted,
      performance.now(),
    );
    for (const failure of restarted) this.#reportCrash(failure);
  }

  #reportCrash({ server, work, at }: Failure): void {
    write("server-died", {
      server: server.id,
      incarnation: server.incarnation,
      request: work.requestId,
    });
    const inFlight = [{
      fingerprint: work.fingerprint,
      workspace: work.workspace ?? OPEN_ROUTE_WORKSPACE,
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

/** Workspace reported for requests on open routes, which have none. */
const OPEN_ROUTE_WORKSPACE = "open";
