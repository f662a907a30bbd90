import * as protocol from "@ebonypath/protocol";
import * as audit from "./audit.ts";
import * as answers from "./deferred_answers.ts";
import * as deferredTypes from "./deferred_request.ts";
import * as results from "./results.ts";
import * as types from "./types.ts";

type Answer = protocol.state.StoredResponse;
type CommandResult = protocol.state.CommandResult;
type StoredRequest = protocol.state.StoredRequest;
type Deferred = deferredTypes.DeferredRequest;
type Waiting = deferredTypes.WaitingDeferredRequest;
type Assigned = deferredTypes.AssignedDeferredRequest;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** Deferred requests from acceptance to the end of their answers' retention. */
export class DeferredRequests {
  readonly #limits: types.Limits;
  readonly #live = new Map<string, Deferred>();
  /** Ended requests, the longest ended first. */
  readonly #ended = new Map<string, Deferred>();
  readonly #idByKey = new Map<string, string>();
  readonly #liveByWorkspace = new Map<string, number>();
  /** No live request has an earlier deadline. */
  #nextDeadlineMs = Infinity;
  #length = 0;

  constructor(limits: types.Limits, saved: readonly Deferred[] = []) {
    this.#limits = limits;
    for (const item of saved) this.#put(item);
  }

  get(id: string): Deferred | undefined {
    return this.#live.get(id) ?? this.#ended.get(id);
  }

  /** Requests that wait for an assignment, the longest accepted first. */
  waiting(): Waiting[] {
    return [...this.#live.values()].filter(deferredTypes.isWaiting);
  }

  /** Requests assigned to any host. */
  assigned(): Assigned[] {
    return [...this.#live.values()].filter(deferredTypes.isAssigned);
  }

  accept(
    command: Command<"accept-deferred">,
    position: types.LogPosition,
    workspaceLimit: number,
  ): CommandResult {
    this.expire(position.timeMs);
    const digest = audit.sha256Hex(JSON.stringify(command.request));
    const earlier = this.#earlier(command);
    if (earlier !== undefined) {
      return earlier.requestDigest === digest
        ? accepted(earlier)
        : { kind: "claim-conflict" };
    }
    const reason = this.#fullReason(command.request, workspaceLimit);
    if (reason !== undefined) return results.full(reason);
    const item: Deferred = {
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
    this.#put(item);
    return accepted(item);
  }

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
      const item = this.#live.get(id);
      if (item?.phase.kind !== "waiting") continue;
      if (item.deadlineMs <= position.timeMs) continue;
      const request = item.phase.request;
      this.#set({ ...item, phase: { kind: "assigned", request, assignment } });
      ids.push(id);
    }
    return { kind: "assigned", ids, index: position.index };
  }

  return(
    command: Command<"return-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const item = this.#live.get(command.id);
    if (item?.phase.kind !== "assigned") return notHeld(command.id);
    if (!holds(item.phase.assignment, command)) return notHeld(command.id);
    this.#takeBack(item, item.phase.request, position.timeMs);
    return results.done(position.index);
  }

  finish(
    command: Command<"finish-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const item = this.get(command.id);
    if (item === undefined || item.phase.kind === "waiting") {
      return notHeld(command.id);
    }
    const assignment = item.phase.assignment;
    if (assignment === undefined || !holds(assignment, command)) {
      return notHeld(command.id);
    }
    if (!hasKnownAnswer(item)) {
      this.#end(item, this.#bounded(item, command.answer), position.timeMs);
    }
    return results.done(position.index);
  }

  cancel(
    command: Command<"cancel-deferred">,
    position: types.LogPosition,
  ): CommandResult {
    const item = this.get(command.id);
    if (item === undefined || item.workspace !== command.workspace) {
      return results.notFound("there is no such deferred request");
    }
    if (item.phase.kind === "waiting") {
      this.#end(item, answers.cancelledAnswer(item), position.timeMs);
    } else if (item.phase.kind === "assigned") {
      this.#set({ ...item, cancelled: true });
    }
    return results.done(position.index);
  }

  /** Takes work back from a lost host, or ends it where it may not run twice. */
  loseHost(owner: types.Owner, timeMs: number): void {
    for (const item of this.assigned()) {
      if (!results.sameOwner(item.phase.assignment, owner)) continue;
      const suspect = { ...item, mayHaveRun: true };
      if (item.idempotent) {
        this.#takeBack(suspect, item.phase.request, timeMs);
      } else {
        this.#end(suspect, answers.unknownAnswer("its host was lost"), timeMs);
      }
    }
  }

  /** Whether `expire` would change anything. */
  isDue(timeMs: number): boolean {
    if (timeMs >= this.#nextDeadlineMs) return true;
    const [ended] = this.#ended.values();
    return ended?.phase.kind === "ended" &&
      ended.phase.endedMs + types.RETENTION_MS <= timeMs;
  }

  /** Ends requests whose deadline has passed; forgets old answers. */
  expire(timeMs: number): void {
    if (timeMs >= this.#nextDeadlineMs) this.#endOverdue(timeMs);
    for (const item of this.#ended.values()) {
      if (item.phase.kind !== "ended") break;
      if (item.phase.endedMs + types.RETENTION_MS > timeMs) break;
      this.#remove(item);
    }
  }

  toSnapshot(): Deferred[] {
    return [...this.#live.values(), ...this.#ended.values()];
  }

  #earlier(command: Command<"accept-deferred">): Deferred | undefined {
    const byId = this.get(command.id);
    if (byId !== undefined || command.key === undefined) return byId;
    const name = `${command.request.workspace}/${command.key}`;
    const id = this.#idByKey.get(name);
    return id === undefined ? undefined : this.get(id);
  }

  #fullReason(
    request: StoredRequest,
    workspaceLimit: number,
  ): string | undefined {
    const live = this.#liveByWorkspace.get(request.workspace) ?? 0;
    if (live >= workspaceLimit) {
      return "the workspace has too many deferred requests";
    }
    if (this.#live.size + this.#ended.size >= this.#limits.deferred) {
      return "too many deferred requests are stored";
    }
    const length = request.body.length + this.#limits.deferredAnswerReserve;
    if (this.#length + length > this.#limits.deferredLength) {
      return "the memory for deferred requests is used up";
    }
    return undefined;
  }

  #endOverdue(timeMs: number): void {
    let next = Infinity;
    for (const item of [...this.#live.values()]) {
      if (item.deadlineMs > timeMs) next = Math.min(next, item.deadlineMs);
      else this.#end(item, answers.overdueAnswer(item), timeMs);
    }
    this.#nextDeadlineMs = next;
  }

  #takeBack(item: Deferred, request: StoredRequest, timeMs: number): void {
    if (item.cancelled) {
      return this.#end(item, answers.cancelledAnswer(item), timeMs);
    }
    const waiting: Deferred = { ...item, phase: { kind: "waiting", request } };
    if (item.deadlineMs <= timeMs) {
      return this.#end(waiting, answers.overdueAnswer(waiting), timeMs);
    }
    this.#set(waiting);
  }

  #bounded(item: Deferred, answer: Answer): Answer {
    const length = this.#length - this.#lengthOf(item) + answer.body.length;
    if (length <= this.#limits.deferredLength) return answer;
    return results.refusal(
      protocol.errors.ANSWER_NOT_KEPT,
      "the memory for answers is used up",
    );
  }

  #end(item: Deferred, answer: Answer, endedMs: number): void {
    const assignment = item.phase.kind === "waiting"
      ? undefined
      : item.phase.assignment;
    const phase = { kind: "ended", endedMs, answer, assignment } as const;
    const before = this.get(item.id);
    if (before !== undefined) this.#remove(before);
    this.#put({ ...item, phase });
  }

  /** Replaces a live request without a change of its place. */
  #set(item: Deferred): void {
    this.#live.set(item.id, item);
  }

  #put(item: Deferred): void {
    const ended = item.phase.kind === "ended";
    (ended ? this.#ended : this.#live).set(item.id, item);
    if (!ended) {
      this.#countLive(item.workspace, 1);
      this.#nextDeadlineMs = Math.min(this.#nextDeadlineMs, item.deadlineMs);
    }
    if (item.key !== undefined) {
      this.#idByKey.set(`${item.workspace}/${item.key}`, item.id);
    }
    this.#length += this.#lengthOf(item);
  }

  #remove(item: Deferred): void {
    if (this.#live.delete(item.id)) this.#countLive(item.workspace, -1);
    this.#ended.delete(item.id);
    if (item.key !== undefined) {
      this.#idByKey.delete(`${item.workspace}/${item.key}`);
    }
    this.#length -= this.#lengthOf(item);
  }

  #countLive(workspace: string, change: number): void {
    const count = (this.#liveByWorkspace.get(workspace) ?? 0) + change;
    if (count > 0) this.#liveByWorkspace.set(workspace, count);
    else this.#liveByWorkspace.delete(workspace);
  }

  #lengthOf(item: Deferred): number {
    if (item.phase.kind === "ended") return item.phase.answer.body.length;
    const reserve = this.#limits.deferredAnswerReserve;
    return item.phase.request.body.length + reserve;
  }
}

function accepted(item: Deferred): CommandResult {
  return { kind: "deferred", id: item.id, deadlineMs: item.deadlineMs };
}

function notHeld(id: string): CommandResult {
  return results.notFound(`the host does not hold deferred request ${id}`);
}

function holds(
  assignment: deferredTypes.Assignment,
  command: Command<"return-deferred"> | Command<"finish-deferred">,
): boolean {
  const named = command.assignment ?? assignment.index;
  return named === assignment.index && results.sameOwner(assignment, command);
}

function hasKnownAnswer(item: Deferred): boolean {
  return item.phase.kind === "ended" &&
    item.phase.answer.outcome !== "may-have-run";
}
