/**
 * Deferred requests at an entry host: acceptance, execution, collection of
 * answers and cancellation.
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

/** Most deferred requests that a host executes concurrently. */
const MAX_EXECUTIONS = 8;
/**
 * Assignments remembered to ignore exchange answers that come late or twice.
 */
const MAX_TAKEN_ASSIGNMENTS = 10_000;
/** Number of random bytes in the id of a deferred request. */
const ID_BYTES = 16;
/** Longest wait that a caller may request in one poll, in seconds. */
const MAX_WAIT_S = 30;
/** Interval between reads of the status during a poll, in milliseconds. */
const POLL_INTERVAL_MS = 250;
/** Limits of a status read from the leader. */
const STATUS_READ_LIMITS = {
  attemptMs: 1_000,
  totalMs: 3_000,
  retryable: true,
};

/** Converts a stored request back to work. */
export type RestoreWork = (
  request: protocol.state.StoredRequest,
  remainingMs: number,
) => types.Work;

/** Dependencies of {@link DeferredRequests}. */
export interface DeferredOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly proposer: host.Proposer;
  readonly proposals: host.RetryingProposer;
  readonly leader: Pick<fleet.LeaderClient, "call">;
  readonly restore: RestoreWork;
  /** Largest answer that is stored for its caller, in bytes. */
  readonly maxAnswerBytes: number;
  run(
    work: types.Work,
    sink: types.Sink,
    signal: AbortSignal,
  ): Promise<void>;
}

/** A deferred request that this host is executing. */
interface Execution {
  readonly cancelled: AbortController;
  /** Absent until the request is restored. */
  work?: types.Work;
}

/** Identifies an assignment and the host that holds it. */
type HeldAssignment = Omit<
  Extract<protocol.state.Command, { kind: "return-deferred" }>,
  "kind"
>;

/** The deferred requests of one entry host. */
export class DeferredRequests {
  readonly #options: DeferredOptions;
  /** Current executions, by assignment key. */
  readonly #executions = new Map<string, Execution>();
  /** Keys of the assignments already taken, oldest first. */
  readonly #taken = new Set<string>();

  constructor(options: DeferredOptions) {
    this.#options = options;
  }

  /** Number of further assignments that this host can take. */
  get capacity(): number {
    return Math.max(0, MAX_EXECUTIONS - this.#executions.size);
  }

  /** Accepts a request durably and responds with its id. */
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
      request: storedRequest.toStoredRequest(work, workspace, contentType),
      maxWaitMs: work.tier.maxWaitMs,
      ...(key === null ? {} : { key: security.digest(key) }),
    });
    if (result.kind !== "deferred") throw acceptanceRefusal(result);
    const location = `/v1/answers/${result.id}`;
    sendJson(response, 202, work.requestId, {
      id: result.id,
      status: "pending",
      location,
      deadline: new Date(result.deadlineMs).toISOString(),
    }, { location });
  }

  /** Handles a poll; waits for the answer up to the caller's preferred time. */
  async collect(
    id: string,
    workspace: string,
    sink: httpSink.HttpSink,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const until = performance.now() + preferredWaitMs(request);
    while (true) {
      const status = await this.#readStatus(id, workspace);
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

  /** Cancels an unfinished request. */
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

  /** Executes requests that the leader assigned to this host. */
  execute(assignments: readonly protocol.control.Assignment[]): void {
    for (const assignment of assignments) {
      if (!this.#take(assignment)) continue;
      const key = assignmentKey(assignment);
      const execution: Execution = { cancelled: new AbortController() };
      this.#executions.set(key, execution);
      void this.#execute(assignment, execution)
        .finally(() => this.#executions.delete(key));
    }
  }

  /**
   * Returns waiting requests to the leader while the host drains: another host
   * may find a slot for them sooner, and the time of this one is limited.
   *
   * @param unstarted Waiting work that was sent to no server yet.
   */
  returnWaiting(unstarted: Iterable<types.Work>): void {
    const waiting = new Set(unstarted);
    for (const { cancelled, work } of this.#executions.values()) {
      if (work !== undefined && waiting.has(work)) cancelled.abort();
    }
  }

  /** Returns requests that the leader assigned to this host while it drains. */
  decline(assignments: readonly protocol.control.Assignment[]): void {
    for (const assignment of assignments) {
      if (this.#take(assignment)) void this.#returnUnstarted(assignment);
    }
  }

  /** Aborts requests cancelled by their callers, and returns unstarted ones. */
  abortCancelled(
    cancellations: readonly protocol.control.Cancellation[],
  ): void {
    for (const cancellation of cancellations) {
      this.#executions.get(assignmentKey(cancellation))?.cancelled.abort();
      if (this.#take(cancellation)) void this.#returnUnstarted(cancellation);
    }
  }

  /** Number of assigned requests that are not finished. */
  get executingCount(): number {
    return this.#executions.size;
  }

  /**
   * Marks an assignment as taken and returns whether it is new. An exchange
   * answer may be late or arrive twice.
   */
  #take(assignment: protocol.control.Cancellation): boolean {
    const key = assignmentKey(assignment);
    if (this.#taken.has(key)) return false;
    this.#taken.add(key);
    if (this.#taken.size > MAX_TAKEN_ASSIGNMENTS) {
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
    const held = this.#heldAssignment(assignment);
    const deadline = performance.now() + assignment.remainingMs;
    const sink = new collecting.CollectingSink(this.#options.maxAnswerBytes);
    await this.#run(assignment, sink, execution);
    const answer = sink.collected;
    const { aborted } = execution.cancelled.signal;
    const mayRunLater = answer.outcome === "not-run" &&
      isTransient(answer.status) && performance.now() < deadline;
    // The replicated state finishes a returned request that was cancelled.
    await proposals.send(
      mayRunLater || (aborted && answer.outcome === "not-run")
        ? { kind: "return-deferred", ...held }
        : { kind: "finish-deferred", ...held, answer },
    );
  }

  async #returnUnstarted(
    assigned: protocol.control.Cancellation,
  ): Promise<void> {
    await this.#options.proposals.send({
      kind: "return-deferred",
      ...this.#heldAssignment(assigned),
    });
  }

  #heldAssignment(
    { id, assignment }: protocol.control.Cancellation,
  ): HeldAssignment {
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

  async #readStatus(
    id: string,
    workspace: string,
  ): Promise<protocol.control.DeferredStatus> {
    try {
      const answer = await this.#options.leader.call(
        protocol.control.DEFERRED_STATUS_METHOD,
        { id, workspace },
        STATUS_READ_LIMITS,
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

/** Returns a unique key: the index grows with each assignment of a request. */
function assignmentKey(
  { assignment, id }: protocol.control.Cancellation,
): string {
  return `${assignment}/${id}`;
}

/** Whether a later attempt may succeed. */
function isTransient(status: number): boolean {
  return status === protocol.errors.NO_CAPACITY.status ||
    status === protocol.errors.RATE_EXCEEDED.status ||
    status === protocol.errors.NOT_STARTED_IN_TIME.status;
}

function acceptanceRefusal(
  result: protocol.state.CommandResult,
): protocol.errors.Refusal {
  switch (result.kind) {
    case "full":
      return refusal(protocol.errors.NO_CAPACITY, result.reason);
    case "claim-conflict":
      return refusal(
        protocol.errors.IDEMPOTENCY_CONFLICT,
        "the key was used with another request",
      );
    default:
      return refusal(
        protocol.errors.INVALID_REQUEST,
        "reason" in result ? result.reason : result.kind,
      );
  }
}

function refusal(
  definition: protocol.errors.ProblemDefinition,
  detail: string,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(definition, detail, {
    step: "accept-deferred",
  });
}

/** Returns the wait of the `Prefer: wait=N` header, in milliseconds. */
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
