/**
 * Deferred tiers at an entry host: accepting, executing, collecting and
 * cancelling.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as timers from "node:timers/promises";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as fleet from "../fleet/mod.ts";
import type * as host from "../host/mod.ts";
import * as security from "../security/mod.ts";
import * as collecting from "./collecting_sink.ts";
import * as httpSink from "./http_sink.ts";
import * as storedRequest from "./stored_request.ts";
import type * as types from "./types.ts";

/** Deferred requests that one host executes at once. */
const EXECUTIONS = 8;
/** Executed assignments remembered against answers that arrive late. */
const REMEMBERED_ASSIGNMENTS = 10_000;
/** Random bytes of the id of a deferred request. */
const ID_BYTES = 16;
/** Longest wait that a caller may ask for in one poll, in seconds. */
const MAX_WAIT_S = 30;
/** Pause between two looks at an answer, in milliseconds. */
const POLL_INTERVAL_MS = 250;
/** Time for one look at the leader, in milliseconds. */
const READ_LIMITS = { attemptMs: 1_000, totalMs: 3_000, retryable: true };

/** Turns a stored request back into work. */
export type Restore = (
  request: protocol.state.StoredRequest,
  remainingMs: number,
) => types.Work;

/** What deferred tiers need at a host. */
export interface DeferredOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly proposer: host.Proposer;
  readonly proposals: host.RetryingProposer;
  readonly leader: Pick<fleet.LeaderClient, "call">;
  readonly restore: Restore;
  /** Largest answer that is kept for its caller, in bytes. */
  readonly maxAnswerBytes: number;
  run(
    work: types.Work,
    sink: types.Sink,
    signal: AbortSignal,
  ): Promise<void>;
}

/** A deferred request that this host executes. */
interface Execution {
  readonly cancelled: AbortController;
  /** Absent until it is restored. */
  work?: types.Work;
}

/** What a host says of a request that it was handed. */
type Holding = Omit<
  Extract<protocol.state.Command, { kind: "return-deferred" }>,
  "kind"
>;

/** The deferred requests of one entry host. */
export class DeferredRequests {
  readonly #options: DeferredOptions;
  /** By the name of the assignment. */
  readonly #executing = new Map<string, Execution>();
  /** Log indexes with ids of assignments that were taken, oldest first. */
  readonly #taken = new Set<string>();

  constructor(options: DeferredOptions) {
    this.#options = options;
  }

  /** How many more assignments this host takes. */
  get capacity(): number {
    return Math.max(0, EXECUTIONS - this.#executing.size);
  }

  /** Accepts a request durably and answers with its id. */
  async accept(
    work: types.Work,
    workspace: string,
    key: string | null,
    contentType: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const result = await this.#propose({
      kind: "accept-deferred",
      id: security.randomId(ID_BYTES),
      request: storedRequest.toStored(work, workspace, contentType),
      maxWaitMs: work.tier.maxWaitMs,
      ...(key === null ? {} : { key: security.digest(key) }),
    });
    if (result.kind !== "deferred") throw refusedAcceptance(result);
    const location = `/v1/answers/${result.id}`;
    sendJson(response, 202, work.requestId, {
      id: result.id,
      status: "pending",
      location,
      deadline: new Date(result.deadlineMs).toISOString(),
    }, { location });
  }

  /** Answers a poll; waits as long as the caller prefers. */
  async collect(
    id: string,
    workspace: string,
    sink: httpSink.HttpSink,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const until = performance.now() + preferredWaitMs(request);
    while (true) {
      const status = await this.#read(id, workspace);
      switch (status.kind) {
        case "unknown":
          throw new protocol.errors.Refusal(
            protocol.errors.NOT_FOUND,
            "there is no such answer for this workspace",
            { step: "collect" },
          );
        case "ended":
          collecting.replay(status.answer, sink);
          return;
        case "pending":
          if (performance.now() < until && !response.destroyed) break;
          return sendJson(response, 202, sink.requestId, {
            id,
            status: status.running ? "running" : "pending",
            remainingMs: Math.max(0, Math.round(status.remainingMs)),
          }, { "retry-after": "1" });
        default:
          return protocol.errors.assertNever(status);
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }

  /** Cancels a request that has not ended. */
  async cancel(
    id: string,
    workspace: string,
    requestId: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const result = await this.#propose({
      kind: "cancel-deferred",
      id,
      workspace,
    });
    if (result.kind !== "done") {
      throw new protocol.errors.Refusal(
        protocol.errors.NOT_FOUND,
        "there is no such request for this workspace",
        { step: "cancel" },
      );
    }
    sendJson(response, 200, requestId, { id, status: "cancelled" }, {});
  }

  /** Executes requests that the leader handed to this host. */
  execute(assignments: readonly protocol.control.Assignment[]): void {
    for (const assignment of assignments) {
      if (!this.#take(assignment)) continue;
      const name = nameOf(assignment);
      const execution: Execution = { cancelled: new AbortController() };
      this.#executing.set(name, execution);
      void this.#execute(assignment, execution)
        .finally(() => this.#executing.delete(name));
    }
  }

  /**
   * Returns requests that wait here, as the host leaves: another host may find
   * them a slot sooner than this one, whose time is limited.
   *
   * @param unbegun Works that wait and were sent to no server yet.
   */
  handBack(unbegun: Iterable<types.Work>): void {
    const waiting = new Set(unbegun);
    for (const { cancelled, work } of this.#executing.values()) {
      if (work !== undefined && waiting.has(work)) cancelled.abort();
    }
  }

  /** Returns requests that the leader handed to a host that leaves. */
  decline(assignments: readonly protocol.control.Assignment[]): void {
    for (const assignment of assignments) {
      if (this.#take(assignment)) void this.#returnUnbegun(assignment);
    }
  }

  /** Ends requests that their callers cancelled, begun here or not. */
  end(cancellations: readonly protocol.control.Cancellation[]): void {
    for (const cancellation of cancellations) {
      this.#executing.get(nameOf(cancellation))?.cancelled.abort();
      if (this.#take(cancellation)) void this.#returnUnbegun(cancellation);
    }
  }

  /** Requests handed to this host that have not ended. */
  get executingCount(): number {
    return this.#executing.size;
  }

  /** Whether an assignment is new: an answer may be late or come twice. */
  #take(assignment: protocol.control.Cancellation): boolean {
    const name = nameOf(assignment);
    if (this.#taken.has(name)) return false;
    this.#taken.add(name);
    if (this.#taken.size > REMEMBERED_ASSIGNMENTS) {
      const [oldest] = this.#taken;
      if (oldest !== undefined) this.#taken.delete(oldest);
    }
    return true;
  }

  async #execute(
    assignment: protocol.control.Assignment,
    execution: Execution,
  ): Promise<void> {
    const { proposals } = this.#options;
    const held = this.#holding(assignment);
    const deadline = performance.now() + assignment.remainingMs;
    const sink = new collecting.CollectingSink(this.#options.maxAnswerBytes);
    await this.#run(assignment, sink, execution);
    const answer = sink.collected;
    const { aborted } = execution.cancelled.signal;
    const mayRunLater = answer.outcome === "not-run" &&
      isTransient(answer.status) && performance.now() < deadline;
    // The state ends a returned request that was cancelled.
    await proposals.send(
      mayRunLater || (aborted && answer.outcome === "not-run")
        ? { kind: "return-deferred", ...held }
        : { kind: "finish-deferred", ...held, answer },
    );
  }

  async #returnUnbegun(
    handed: protocol.control.Cancellation,
  ): Promise<void> {
    await this.#options.proposals.send({
      kind: "return-deferred",
      ...this.#holding(handed),
    });
  }

  #holding({ id, assignment }: protocol.control.Cancellation): Holding {
    const { identity } = this.#options;
    return {
      id,
      assignment,
      host: identity.name,
      hostIncarnation: identity.incarnation,
    };
  }

  async #run(
    assignment: protocol.control.Assignment,
    sink: types.Sink,
    execution: Execution,
  ): Promise<void> {
    const { restore, run } = this.#options;
    try {
      const work = restore(assignment.request, assignment.remainingMs);
      execution.work = work;
      await run(work, sink, execution.cancelled.signal);
    } catch (error) {
      if (!(error instanceof protocol.errors.Refusal)) throw error;
      sink.refuse(error);
    }
  }

  async #propose(
    command: protocol.state.Command,
  ): Promise<protocol.state.CommandResult> {
    try {
      return await this.#options.proposer.propose(command);
    } catch (cause) {
      throw new protocol.errors.Refusal(
        protocol.errors.NOT_CURRENT,
        "the change could not be committed in time",
        { step: command.kind, outcome: "may-have-run", cause },
      );
    }
  }

  async #read(
    id: string,
    workspace: string,
  ): Promise<protocol.control.DeferredStatus> {
    try {
      const answer = await this.#options.leader.call(
        protocol.control.DEFERRED_STATUS_METHOD,
        { id, workspace },
        READ_LIMITS,
      );
      return v.parse(protocol.control.DeferredStatus, answer);
    } catch (cause) {
      throw new protocol.errors.Refusal(
        protocol.errors.NOT_CURRENT,
        "the answer could not be read",
        { step: "collect", cause },
      );
    }
  }
}

/** Tells assignments of one request apart: the index grows with each one. */
function nameOf({ assignment, id }: protocol.control.Cancellation): string {
  return `${assignment}/${id}`;
}

/** Whether another try later may end otherwise. */
function isTransient(status: number): boolean {
  return status === protocol.errors.NO_CAPACITY.status ||
    status === protocol.errors.RATE_EXCEEDED.status ||
    status === protocol.errors.NOT_STARTED_IN_TIME.status;
}

function refusedAcceptance(
  result: protocol.state.CommandResult,
): protocol.errors.Refusal {
  switch (result.kind) {
    case "full":
      return notAccepted(protocol.errors.NO_CAPACITY, result.reason);
    case "claim-conflict":
      return notAccepted(
        protocol.errors.IDEMPOTENCY_CONFLICT,
        "the key was used with another request",
      );
    default:
      return notAccepted(
        protocol.errors.INVALID_REQUEST,
        "reason" in result ? result.reason : result.kind,
      );
  }
}

function notAccepted(
  definition: protocol.errors.ProblemDefinition,
  detail: string,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(definition, detail, {
    step: "accept-deferred",
  });
}

/** Reads `Prefer: wait=N`, in milliseconds. */
function preferredWaitMs(request: http.IncomingMessage): number {
  const header = request.headers["prefer"];
  const text = Array.isArray(header) ? header.join(",") : header ?? "";
  const seconds = Number(/\bwait=(\d{1,4})\b/.exec(text)?.[1] ?? 0);
  return Math.min(seconds, MAX_WAIT_S) * 1_000;
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  requestId: string,
  value: unknown,
  headers: Record<string, string>,
): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
    [protocol.errors.REQUEST_ID_HEADER]: requestId,
    ...headers,
  });
  response.end(body);
}
