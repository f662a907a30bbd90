/**
 * Keeps the paces of servers of models from the reports of all hosts.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import * as log from "../../log/mod.ts";

const write = log.createLog("directory");

/** Difference from the usual pace that hosts needn't be told of. */
const NEGLIGIBLE_PACE = 0.05;
/** Change of a pace that is logged, as a factor. */
const LOGGED_CHANGE = 1.3;

/** Servers whose logged pace is remembered; twice those of a large fleet. */
const MAX_LOGGED_SERVERS = 24_000;

/** Tokens of requests at a server, over all hosts. */
type TokenCounts = ReturnType<core.gateway.DemandTracker["tokensOn"]>;

/** The paces that a leader knows, as hosts report and are told them. */
export class ServerPaceKeeper {
  readonly #paces = new core.gateway.ServerPaces();
  /** Paces as last logged, by server. */
  readonly #logged = new Map<string, number>();

  /**
   * Records the times to the first event that a host has observed since its
   * previous report. Those of servers that the leader doesn't know are dropped.
   */
  record(
    { load }: Pick<gateway.ReportRequest, "load">,
    registry: Pick<core.gateway.ServerRegistry, "get">,
    now: number,
  ): void {
    for (const { model, observed, server } of load) {
      const born = registry.get(server)?.born;
      if (observed === undefined || model === undefined || born === undefined) {
        continue;
      }
      this.#paces.record({ server, born, model, ...observed }, now);
      this.#logChange(server, this.#paces.paceOf(server, born, now));
    }
  }

  /**
   * What hosts are told of a server of models; what is usual is left out, since
   * the loads of all servers are a large part of an answer.
   */
  describe(
    { born, id }: Pick<gateway.ServerRecord, "born" | "id">,
    { reservedTokens, unreadTokens }: TokenCounts,
    now: number,
  ): Pick<gateway.ServerLoad, "unreadTokens" | "reservedTokens" | "pace"> {
    const pace = this.#paces.paceOf(id, born, now);
    return {
      ...(unreadTokens > 0 ? { unreadTokens } : {}),
      ...(reservedTokens > 0 ? { reservedTokens } : {}),
      ...(Math.abs(pace - 1) < NEGLIGIBLE_PACE ? {} : { pace: round(pace) }),
    };
  }

  #logChange(server: string, pace: number): void {
    const logged = this.#logged.get(server) ?? 1;
    const change = Math.max(pace / logged, logged / pace);
    if (change < LOGGED_CHANGE) return;
    // Forgotten servers cost a line more if they come back.
    if (this.#logged.size >= MAX_LOGGED_SERVERS) this.#logged.clear();
    this.#logged.set(server, pace);
    write("server-pace", { server, pace: round(pace), before: round(logged) });
  }
}

/** Two digits are more than a pace is known to. */
function round(pace: number): number {
  return Math.round(pace * 100) / 100;
}
