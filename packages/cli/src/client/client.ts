import * as timers from "node:timers/promises";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as failure from "../failure.ts";
import type * as transport from "./transport.ts";

/** Pause between two rounds over all servers, in milliseconds. */
const ROUND_PAUSE_MS = 200;

/** Statuses that speak of the asked server's settings, not of the change. */
const LOCAL_STATUSES: ReadonlySet<number> = new Set([401, 403]);
/** Statuses after which another server may still do what was asked. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

type AnySchema = v.GenericSchema<unknown, unknown>;

/** How calls are spread over servers and time. */
export interface ClientOptions {
  /** Origins of operators' listeners, tried in this order. */
  readonly servers: readonly string[];
  /** Time for all tries of one call, in milliseconds. */
  readonly totalMs: number;
}

/** Sends a single call to a single server. */
export type Sender = Pick<transport.Transport, "send">;

/** Calls the operators' interface of whichever server answers. */
export class Client {
  readonly #sender: Sender;
  readonly #totalMs: number;
  /** The server that answered last stands first. */
  #servers: readonly string[];

  constructor(sender: Sender, options: ClientOptions) {
    this.#sender = sender;
    this.#totalMs = options.totalMs;
    this.#servers = options.servers;
  }

  /**
   * Reads something.
   *
   * @throws {failure.Failure}
   * @example
   * ```ts
   * const { hosts } = await client.read("/v1/hosts", protocol.operators.Hosts);
   * ```
   */
  async read<S extends AnySchema>(
    path: string,
    schema: S,
  ): Promise<v.InferOutput<S>> {
    return await this.#call({ method: "GET", path }, schema);
  }

  /**
   * Makes a change. The request has to carry a change id: it is sent again,
   * unaltered, until a server tells its outcome.
   *
   * @throws {failure.OutcomeUnknownError} the change may have been made.
   * @throws {failure.Failure}
   * @example
   * ```ts
   * const { index } = await client.change({ method: "POST", path: "/v1/keys", body });
   * ```
   */
  async change(
    request: transport.Request,
  ): Promise<protocol.operators.ChangeResponse> {
    return await this.#call(request, protocol.operators.ChangeResponse);
  }

  async #call<S extends AnySchema>(
    request: transport.Request,
    schema: S,
  ): Promise<v.InferOutput<S>> {
    const deadline = performance.now() + this.#totalMs;
    const tries = new Tries();
    while (true) {
      for (const server of this.#servers) {
        const reply = await this.#sender.send(server, request);
        if (reply.kind !== "answer") {
          tries.note(server, reply.reason, reply.kind === "lost");
        } else if (reply.status === 200) {
          this.#prefer(server);
          return decode(reply.body, schema, server);
        } else {
          const refusal = decodeRefusal(reply.body, reply.status, server);
          if (tries.isSettledBy(reply.status)) throw refusal;
          const { title, detail, outcome } = refusal.problem;
          tries.note(server, `${title}: ${detail}`, outcome !== "not-run");
        }
      }
      if (performance.now() + ROUND_PAUSE_MS >= deadline) break;
      await timers.setTimeout(ROUND_PAUSE_MS);
    }
    throw tries.toFailure(request.method !== "GET");
  }

  #prefer(server: string): void {
    const others = this.#servers.filter((other) => other !== server);
    this.#servers = [server, ...others];
  }
}

/** What the tries of one call have met so far. */
class Tries {
  readonly #lastReasons = new Map<string, string>();
  #mayHaveRun = false;

  note(server: string, reason: string, mayHaveRun: boolean): void {
    this.#lastReasons.set(server, reason);
    this.#mayHaveRun ||= mayHaveRun;
  }

  /** Whether a refusal tells what became of the change for certain. */
  isSettledBy(status: number): boolean {
    if (RETRIED_STATUSES.has(status)) return false;
    return !(this.#mayHaveRun && LOCAL_STATUSES.has(status));
  }

  toFailure(isChange: boolean): failure.Failure {
    const reasons = [...this.#lastReasons]
      .map(([server, reason]) => `${server}: ${reason}`).join("; ");
    if (isChange && this.#mayHaveRun) {
      return new failure.OutcomeUnknownError(
        `the outcome of the change is not known; ${reasons}`,
        "send it again with the same change id, or look for it in `ebonypath audit`",
      );
    }
    return new failure.UnreachableError(
      `no server could do it, nothing was changed; ${reasons}`,
      "check --server and the hosts, or name several servers",
    );
  }
}

function decode<S extends AnySchema>(
  body: unknown,
  schema: S,
  server: string,
): v.InferOutput<S> {
  const result = v.safeParse(schema, body);
  if (result.success) return result.output;
  const path = v.getDotPath(result.issues[0]) ?? "body";
  throw new failure.OutcomeUnknownError(
    `${server} answered in an unknown form: ${path}: ${
      result.issues[0].message
    }`,
    "use a command line of the daemon's version",
  );
}

function decodeRefusal(
  body: unknown,
  status: number,
  server: string,
): failure.RefusedError {
  const result = v.safeParse(protocol.operators.Problem, body);
  if (result.success) return new failure.RefusedError(result.output, server);
  return new failure.RefusedError({
    title: `${server} answered ${status}`,
    status,
    detail: "its body is no problem document",
    outcome: "may-have-run",
    hint: "check that --server names an operators' listener",
  }, server);
}
