import * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** Longest time for which a claim may stay open (8 days). */
const OPEN_LIMIT_MS = 8 * 24 * 60 * 60 * 1_000;

/** Where a claim stands. */
export type ClaimPhase =
  /** The owner may be running the request. */
  | { readonly kind: "open"; readonly sinceMs: number }
  /** The owner was lost; the request may have run. */
  | { readonly kind: "unknown"; readonly sinceMs: number }
  /** The request ran to its end. */
  | {
    readonly kind: "answered";
    readonly sinceMs: number;
    readonly answer: protocol.state.StoredResponse;
  }
  /** Nothing of the request ran: the key may be claimed anew. */
  | { readonly kind: "released"; readonly sinceMs: number };

/** The right to run one non-idempotent request. */
export interface Claim extends types.Owner {
  /** Log index that opened it. */
  readonly index: number;
  readonly workspace: string;
  readonly key: string;
  readonly request: string;
  readonly attempt: string | undefined;
  readonly phase: ClaimPhase;
}

function nameOf(workspace: string, key: string): string {
  return `${workspace}/${key}`;
}

function answerLength(claim: Claim): number {
  return claim.phase.kind === "answered" ? claim.phase.answer.body.length : 0;
}

/**
 * Claims by workspace and idempotency key: at most one owner may run a request.
 *
 * A close that arrives after its host was declared lost is still recorded: the
 * host did run the request, nobody else was let in, and a known answer is
 * better than an unknown outcome. A late release is taken for the same reason.
 */
export class Claims {
  readonly #limits: types.Limits;
  readonly #open = new Map<string, Claim>();
  /** Ended claims, the longest ended first. */
  readonly #ended = new Map<string, Claim>();
  readonly #countByWorkspace = new Map<string, number>();
  #answerLength = 0;

  constructor(limits: types.Limits, saved: readonly Claim[] = []) {
    this.#limits = limits;
    for (const claim of saved) this.#put(claim);
  }

  get(workspace: string, key: string): Claim | undefined {
    const name = nameOf(workspace, key);
    return this.#open.get(name) ?? this.#ended.get(name);
  }

  /** Claims that the owner has open, oldest first. */
  openClaimsOf(owner: types.Owner): Claim[] {
    return [...this.#open.values()].filter((claim) =>
      results.sameOwner(claim, owner)
    );
  }

  /** Owners of the open claims, one for each claim. */
  openOwners(): types.Owner[] {
    return [...this.#open.values()];
  }

  /** Whether `expire` would change anything. */
  isDue(timeMs: number): boolean {
    const [open] = this.#open.values();
    const [ended] = this.#ended.values();
    const isOpenDue = open !== undefined &&
      open.phase.sinceMs + OPEN_LIMIT_MS <= timeMs;
    const isEndedDue = ended !== undefined &&
      ended.phase.sinceMs + types.RETENTION_MS <= timeMs;
    return isOpenDue || isEndedDue;
  }

  open(
    command: Command<"open-claim">,
    position: types.LogPosition,
  ): CommandResult {
    this.expire(position.timeMs);
    const held = this.get(command.workspace, command.key);
    if (held === undefined) return this.#claim(command, position);
    if (held.phase.kind === "released") {
      return this.#reclaim(held, command, position);
    }
    if (held.request !== command.request) return { kind: "claim-conflict" };
    switch (held.phase.kind) {
      case "open":
        return isResend(held, command)
          ? { kind: "claimed", index: held.index }
          : { kind: "claim-running", host: held.host };
      case "unknown":
        return { kind: "claim-unknown" };
      case "answered":
        return { kind: "claim-answered", answer: held.phase.answer };
      default:
        return protocol.errors.assertNever(held.phase);
    }
  }

  close(
    command: Command<"close-claim">,
    position: types.LogPosition,
  ): CommandResult {
    const claim = this.#owned(command);
    if (claim === undefined || claim.phase.kind === "released") {
      return results.notFound("the host does not hold this claim");
    }
    if (claim.phase.kind !== "answered") {
      const answer = this.#bounded(command.answer);
      this.#move(claim, { kind: "answered", sinceMs: position.timeMs, answer });
    }
    return results.done(position.index);
  }

  release(
    command: Command<"release-claim">,
    position: types.LogPosition,
  ): CommandResult {
    const claim = this.#owned(command);
    if (claim === undefined) return this.#bar(command, position);
    if (claim.phase.kind === "answered") {
      return results.notFound("the host does not hold this claim");
    }
    if (claim.phase.kind !== "released") {
      this.#move(claim, { kind: "released", sinceMs: position.timeMs });
    }
    return results.done(position.index);
  }

  /** Turns the open claims of a lost host to unknown. */
  loseHost(owner: types.Owner, timeMs: number): void {
    for (const claim of this.openClaimsOf(owner)) {
      this.#move(claim, { kind: "unknown", sinceMs: timeMs });
    }
  }

  /** Removes claims whose retention is over. */
  expire(timeMs: number): void {
    for (const claim of this.#open.values()) {
      if (claim.phase.sinceMs + OPEN_LIMIT_MS > timeMs) break;
      this.#move(claim, { kind: "unknown", sinceMs: timeMs });
    }
    for (const claim of this.#ended.values()) {
      if (claim.phase.sinceMs + types.RETENTION_MS > timeMs) break;
      this.#remove(claim);
    }
  }

  toSnapshot(): Claim[] {
    return [...this.#open.values(), ...this.#ended.values()];
  }

  #claim(
    command: Command<"open-claim">,
    position: types.LogPosition,
  ): CommandResult {
    if (this.#open.size + this.#ended.size >= this.#limits.claims) {
      return results.full("too many idempotency keys are remembered");
    }
    const count = this.#countByWorkspace.get(command.workspace) ?? 0;
    if (count >= this.#limits.claimsPerWorkspace) {
      return results.full("the workspace has too many idempotency keys");
    }
    this.#put({
      index: position.index,
      workspace: command.workspace,
      key: command.key,
      request: command.request,
      host: command.host,
      hostIncarnation: command.hostIncarnation,
      attempt: command.attempt,
      phase: { kind: "open", sinceMs: position.timeMs },
    });
    return { kind: "claimed", index: position.index };
  }

  /** Keeps a late `open-claim` of an attempt that was given up from opening. */
  #bar(
    command: Command<"release-claim">,
    position: types.LogPosition,
  ): CommandResult {
    const held = this.get(command.workspace, command.key);
    const isFree = held === undefined || held.phase.kind === "released";
    if (command.attempt === undefined || !isFree) {
      return results.notFound("the host does not hold this claim");
    }
    if (held !== undefined) this.#remove(held);
    this.#put({
      index: position.index,
      workspace: command.workspace,
      key: command.key,
      request: "",
      host: command.host,
      hostIncarnation: command.hostIncarnation,
      attempt: command.attempt,
      phase: { kind: "released", sinceMs: position.timeMs },
    });
    return results.done(position.index);
  }

  #reclaim(
    released: Claim,
    command: Command<"open-claim">,
    position: types.LogPosition,
  ): CommandResult {
    if (isResend(released, command)) {
      return results.notFound("this attempt has released its claim");
    }
    this.#remove(released);
    return this.#claim(command, position);
  }

  #owned(
    command: Command<"close-claim"> | Command<"release-claim">,
  ): Claim | undefined {
    const claim = this.get(command.workspace, command.key);
    if (claim === undefined) return undefined;
    if (!results.sameOwner(claim, command)) return undefined;
    const named = command.claim ?? claim.index;
    if (named !== claim.index) return undefined;
    if (command.kind === "close-claim") return claim;
    const attempt = command.attempt ?? claim.attempt;
    return attempt === claim.attempt ? claim : undefined;
  }

  #bounded(
    answer: protocol.state.StoredResponse,
  ): protocol.state.StoredResponse {
    const length = this.#answerLength + answer.body.length;
    if (length <= this.#limits.claimAnswerLength) return answer;
    return results.refusal(
      protocol.errors.ANSWER_NOT_KEPT,
      "the memory for answers is used up",
    );
  }

  #move(claim: Claim, phase: ClaimPhase): void {
    this.#remove(claim);
    this.#put({ ...claim, phase });
  }

  #put(claim: Claim): void {
    const claims = claim.phase.kind === "open" ? this.#open : this.#ended;
    claims.set(nameOf(claim.workspace, claim.key), claim);
    const count = this.#countByWorkspace.get(claim.workspace) ?? 0;
    this.#countByWorkspace.set(claim.workspace, count + 1);
    this.#answerLength += answerLength(claim);
  }

  #remove(claim: Claim): void {
    const name = nameOf(claim.workspace, claim.key);
    this.#open.delete(name);
    this.#ended.delete(name);
    const count = (this.#countByWorkspace.get(claim.workspace) ?? 1) - 1;
    if (count > 0) this.#countByWorkspace.set(claim.workspace, count);
    else this.#countByWorkspace.delete(claim.workspace);
    this.#answerLength -= answerLength(claim);
  }
}

function isResend(claim: Claim, command: Command<"open-claim">): boolean {
  return claim.attempt !== undefined && claim.attempt === command.attempt &&
    results.sameOwner(claim, command);
}
