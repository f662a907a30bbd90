import * as protocol from "@ebonypath/protocol";
import * as audit from "./audit.ts";
import * as answers from "./deferred_answers.ts";
import * as deferredRequest from "./deferred_request.ts";
import * as results from "./results.ts";
import * as types from "./types.ts";

type Answer = protocol.state.StoredResponse;
type CommandResult = protocol.state.CommandResult;
type StoredRequest = protocol.state.StoredRequest;
type DeferredRequest = deferredRequest.DeferredRequest;
type WaitingDeferredRequest = deferredRequest.WaitingDeferredRequest;
type AssignedDeferredRequest = deferredRequest.AssignedDeferredRequest;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/**
 * Deferred requests, from acceptance to the end of their answers' retention.
 */
export class DeferredRequests {
  readonly #limits: types.Limits;
  /** Waiting and assigned requests. */
  readonly #live = new Map<string, DeferredRequest>();
  /** Ended requests, in the order in which they ended. */
  readonly #ended = new Map<string, DeferredRequest>();
  readonly #idByKey = new Map<string, string>();
  readonly #liveCountByWorkspace = new Map<string, number>();
  /** Lower bound of the deadlines of live requests. */
  #nextDeadlineMs = Infinity;
  /** Total length of requests, answers and reserves, in characters. */
  #storedLength = 0;

  constructor(
    limits: types.Limits,
    savedRequests: readonly DeferredRequest[] = [],
  ) {
    this.#limits = limits;
    for (const deferred of savedRequests) this.#put(deferred);
  }

  get(id: string): DeferredRequest | undefined {
    return this.#live.get(id) ?? this.#ended.get(id);
  }

  /** Lists the requests that wait for an assignment, in order of acceptance. */
  waiting(): WaitingDeferredRequest[] {
    return [...this.#live.values()].filter(deferredRequest.isWaiting);
  }

  /** Lists the requests that are assigned to a host. */
  assigned(): AssignedDeferredRequest[] {
    return [...this.#live.values()].filter(deferredRequest.isAssigned);
  }

  /** Stores a request; a resend gets the id of the first acceptance. */
  accept(
    command: Command<"accept-deferred">,
    position: types.LogPosition,
    workspaceLimit: number,
  ): CommandResult {
    this.expire(position.timeMs);
    const digest = audit.sha256Hex(JSON.stringify(command.request));
    const existing = this.#findAccepted(command);
    if (existing !== undefined) {
      return existing.requestDigest === digest
        ? acceptedResult(existing)
        : { kind: "claim-conflict" };
    }
    const reason = this.#findExceededLimit(command.request, workspaceLimit);
    if (reason !== undefined) return results.full(reason);
    const deferred: DeferredRequest = {
      id: command.id,
      workspace: command.request.workspace,
      key: command.key,
      requestDigest: digest,
      idempotent: command.request.idempotent,
      acceptedMs: position.timeMs,
      deadlineMs: position.timeMs + command.maxWaitMs,
      cancelled: false,
      mayHaveRun: false,
      phase: { kind: "waiting", request: command.request },
    };
    this.#put(deferred);
    return acceptedResult(deferred);
  }

  /** Assigns requests to a host, and skips those that don't wait any more. */
  assign(
    command: Command<"assign-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const assignment = {
      host: command.host,
      hostIncarnation: command.hostIncarnation,
      index: position.index,
    };
    const ids: string[] = [];
    for (const id of command.ids) {
      const deferred = this.#live.get(id);
      if (deferred?.phase.kind !== "waiting") continue;
      if (deferred.deadlineMs <= position.timeMs) continue;
      const request = deferred.phase.request;
      this.#replace({
        ...deferred,
        phase: { kind: "assigned", request, assignment },
      });
      ids.push(id);
    }
    return { kind: "assigned", ids, index: position.index };
  }

  /** Takes back a request of which nothing ran. */
  return(
    command: Command<"return-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const deferred = this.#live.get(command.id);
    if (deferred?.phase.kind !== "assigned") return notAssigned(command.id);
    if (!isOwner(deferred.phase.assignment, command)) {
      return notAssigned(command.id);
    }
    this.#requeue(deferred, deferred.phase.request, position.timeMs);
    return results.done(position.index);
  }

  /** Records an answer; it replaces one whose outcome was unknown. */
  finish(
    command: Command<"finish-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const deferred = this.get(command.id);
    if (deferred === undefined || deferred.phase.kind === "waiting") {
      return notAssigned(command.id);
    }
    const assignment = deferred.phase.assignment;
    if (assignment === undefined || !isOwner(assignment, command)) {
      return notAssigned(command.id);
    }
    if (!hasKnownAnswer(deferred)) {
      this.#end(
        deferred,
        this.#limitAnswer(deferred, command.answer),
        position.timeMs,
      );
    }
    return results.done(position.index);
  }

  /** Ends a waiting request; an assigned one is ended when it is returned. */
  cancel(
    command: Command<"cancel-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const deferred = this.get(command.id);
    if (deferred === undefined || deferred.workspace !== command.workspace) {
      return results.notFound("there is no such deferred request");
    }
    if (deferred.phase.kind === "waiting") {
      this.#end(deferred, answers.cancelledAnswer(deferred), position.timeMs);
    } else if (deferred.phase.kind === "assigned") {
      this.#replace({ ...deferred, cancelled: true });
    }
    return results.done(position.index);
  }

  /**
   * Takes back the idempotent requests of a lost host; ends the others as
   * unknown, because they must not run twice.
   */
  loseHost(owner: types.Owner, timeMs: number): void {
    for (const deferred of this.assigned()) {
      if (!results.isSameOwner(deferred.phase.assignment, owner)) continue;
      const interrupted = { ...deferred, mayHaveRun: true };
      if (deferred.idempotent) {
        this.#requeue(interrupted, deferred.phase.request, timeMs);
      } else {
        this.#end(
          interrupted,
          answers.unknownOutcomeAnswer("its host was lost"),
          timeMs,
        );
      }
    }
  }

  /** Returns whether `expire` would change a request. */
  isDue(timeMs: number): boolean {
    if (timeMs >= this.#nextDeadlineMs) return true;
    const [ended] = this.#ended.values();
    return ended?.phase.kind === "ended" &&
      ended.phase.endedMs + types.RETENTION_MS <= timeMs;
  }

  /** Ends requests whose deadline has passed, and removes old answers. */
  expire(timeMs: number): void {
    if (timeMs >= this.#nextDeadlineMs) this.#endPastDeadline(timeMs);
    for (const deferred of this.#ended.values()) {
      if (deferred.phase.kind !== "ended") break;
      if (deferred.phase.endedMs + types.RETENTION_MS > timeMs) break;
      this.#remove(deferred);
    }
  }

  toSnapshot(): DeferredRequest[] {
    return [...this.#live.values(), ...this.#ended.values()];
  }

  #findAccepted(
    command: Command<"accept-deferred">,
  ): DeferredRequest | undefined {
    const byId = this.get(command.id);
    if (byId !== undefined || command.key === undefined) return byId;
    const name = `${command.request.workspace}/${command.key}`;
    const id = this.#idByKey.get(name);
    return id === undefined ? undefined : this.get(id);
  }

  #findExceededLimit(
    request: StoredRequest,
    workspaceLimit: number,
  ): string | undefined {
    const live = this.#liveCountByWorkspace.get(request.workspace) ?? 0;
    if (live >= workspaceLimit) {
      return "the workspace has too many deferred requests";
    }
    if (this.#live.size + this.#ended.size >= this.#limits.deferred) {
      return "too many deferred requests are stored";
    }
    const length = request.body.length + this.#limits.deferredAnswerReserve;
    if (this.#storedLength + length > this.#limits.deferredLength) {
      return "the memory for deferred requests is used up";
    }
    return undefined;
  }

  #endPastDeadline(timeMs: number): void {
    let next = Infinity;
    for (const deferred of [...this.#live.values()]) {
      if (deferred.deadlineMs > timeMs) {
        next = Math.min(next, deferred.deadlineMs);
      } else this.#end(deferred, answers.deadlineAnswer(deferred), timeMs);
    }
    this.#nextDeadlineMs = next;
  }

  /**
   * Makes a request wait again, unless it was cancelled or its time is over.
   */
  #requeue(
    deferred: DeferredRequest,
    request: StoredRequest,
    timeMs: number,
  ): void {
    if (deferred.cancelled) {
      return this.#end(deferred, answers.cancelledAnswer(deferred), timeMs);
    }
    const waiting: DeferredRequest = {
      ...deferred,
      phase: { kind: "waiting", request },
    };
    if (deferred.deadlineMs <= timeMs) {
      return this.#end(waiting, answers.deadlineAnswer(waiting), timeMs);
    }
    this.#replace(waiting);
  }

  /** Replaces an answer that exceeds the memory for answers by an error. */
  #limitAnswer(deferred: DeferredRequest, answer: Answer): Answer {
    const length = this.#storedLength - this.#storedLengthOf(deferred) +
      answer.body.length;
    if (length <= this.#limits.deferredLength) return answer;
    return results.errorAnswer(
      protocol.errors.ANSWER_NOT_KEPT,
      "the memory for answers is used up",
    );
  }

  #end(deferred: DeferredRequest, answer: Answer, endedMs: number): void {
    const assignment = deferred.phase.kind === "waiting"
      ? undefined
      : deferred.phase.assignment;
    const phase = { kind: "ended", endedMs, answer, assignment } as const;
    const previous = this.get(deferred.id);
    if (previous !== undefined) this.#remove(previous);
    this.#put({ ...deferred, phase });
  }

  /** Replaces a live request; it keeps its place in the order of acceptance. */
  #replace(deferred: DeferredRequest): void {
    this.#live.set(deferred.id, deferred);
  }

  #put(deferred: DeferredRequest): void {
    const ended = deferred.phase.kind === "ended";
    (ended ? this.#ended : this.#live).set(deferred.id, deferred);
    if (!ended) {
      this.#countLive(deferred.workspace, 1);
      this.#nextDeadlineMs = Math.min(
        this.#nextDeadlineMs,
        deferred.deadlineMs,
      );
    }
    if (deferred.key !== undefined) {
      this.#idByKey.set(`${deferred.workspace}/${deferred.key}`, deferred.id);
    }
    this.#storedLength += this.#storedLengthOf(deferred);
  }

  #remove(deferred: DeferredRequest): void {
    if (this.#live.delete(deferred.id)) this.#countLive(deferred.workspace, -1);
    this.#ended.delete(deferred.id);
    if (deferred.key !== undefined) {
      this.#idByKey.delete(`${deferred.workspace}/${deferred.key}`);
    }
    this.#storedLength -= this.#storedLengthOf(deferred);
  }

  #countLive(workspace: string, change: number): void {
    const count = (this.#liveCountByWorkspace.get(workspace) ?? 0) + change;
    if (count > 0) this.#liveCountByWorkspace.set(workspace, count);
    else this.#liveCountByWorkspace.delete(workspace);
  }

  #storedLengthOf(deferred: DeferredRequest): number {
    if (deferred.phase.kind === "ended") {
      return deferred.phase.answer.body.length;
    }
    const reserve = this.#limits.deferredAnswerReserve;
    return deferred.phase.request.body.length + reserve;
  }
}

function acceptedResult(deferred: DeferredRequest): CommandResult {
  return { kind: "deferred", id: deferred.id, deadlineMs: deferred.deadlineMs };
}

function notAssigned(id: string): CommandResult {
  return results.notFound(`the host does not hold deferred request ${id}`);
}

function isOwner(
  assignment: deferredRequest.Assignment,
  command: Command<"return-deferred"> | Command<"finish-deferred">,
): boolean {
  const expectedIndex = command.assignment ?? assignment.index;
  return expectedIndex === assignment.index &&
    results.isSameOwner(assignment, command);
}

function hasKnownAnswer(deferred: DeferredRequest): boolean {
  return deferred.phase.kind === "ended" &&
    deferred.phase.answer.outcome !== "may-have-run";
}
