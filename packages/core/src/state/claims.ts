import * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import * as types from "./types.ts";

type CommandResult = protocol.state.CommandResult;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** Longest time for which a claim may stay open (8 days), in milliseconds. */
const MAX_OPEN_MS = 8 * 24 * 60 * 60 * 1_000;

/** Phase of a claim. */
export type ClaimPhase =
  /** The owner may be running the request. */
  | { readonly kind: "open"; readonly sinceMs: number }
  /** The owner was lost or exceeded its time; the request may have run. */
  | { readonly kind: "unknown"; readonly sinceMs: number }
  /** The request ran to completion. */
  | {
    readonly kind: "answered";
    readonly sinceMs: number;
    readonly answer: protocol.state.StoredResponse;
  }
  /** No part of the request ran; the key may be claimed again. */
  | { readonly kind: "released"; readonly sinceMs: number };

/** The exclusive right to run one non-idempotent request. */
export interface Claim extends types.Owner {
  /** Log index at which the claim was opened. */
  readonly index: number;
  readonly workspace: string;
  /** Digest of the caller's idempotency key. */
  readonly key: string;
  /** Digest of the request. */
  readonly request: string;
  /** Id of the attempt that opened the claim; identifies resent proposals. */
  readonly attempt: string | undefined;
  readonly phase: ClaimPhase;
}

function formatName(workspace: string, key: string): string {
  return `${workspace}/${key}`;
}

function getAnswerLength(claim: Claim): number {
  return claim.phase.kind === "answered" ? claim.phase.answer.body.length : 0;
}

/**
 * Claims by workspace and idempotency key: at most one owner may run a request.
 *
 * A close that arrives after its host was declared lost is still recorded: the
 * host did run the request, no other host could claim it since, and a known
 * answer is better than an unknown outcome. A late release is accepted for the
 * same reason.
 */
export class Claims {
  readonly #limits: types.Limits;
  readonly #open = new Map<string, Claim>();
  /** Claims that aren't open, in the order in which they ended. */
  readonly #ended = new Map<string, Claim>();
  readonly #countByWorkspace = new Map<string, number>();
  /** Total length of the stored answers, in characters. */
  #answerLength = 0;

  constructor(limits: types.Limits, savedClaims: readonly Claim[] = []) {
    this.#limits = limits;
    for (const claim of savedClaims) this.#put(claim);
  }

  get(workspace: string, key: string): Claim | undefined {
    const name = formatName(workspace, key);
    return this.#open.get(name) ?? this.#ended.get(name);
  }

  /** Lists the open claims of an owner, oldest first. */
  openClaimsOf(owner: types.Owner): Claim[] {
    return [...this.#open.values()].filter((claim) =>
      results.isSameOwner(claim, owner)
    );
  }

  /** Lists the owner of each open claim, with repetitions. */
  openOwners(): types.Owner[] {
    return [...this.#open.values()];
  }

  /** Returns whether `expire` would change a claim. */
  isDue(timeMs: number): boolean {
    const [open] = this.#open.values();
    const [ended] = this.#ended.values();
    const isOpenDue = open !== undefined &&
      open.phase.sinceMs + MAX_OPEN_MS <= timeMs;
    const isEndedDue = ended !== undefined &&
      ended.phase.sinceMs + types.RETENTION_MS <= timeMs;
    return isOpenDue || isEndedDue;
  }

  /**
   * Opens a claim for a host, or tells what became of the earlier one. A resent
   * proposal of the same attempt gets the same claim.
   */
  open(
    command: Command<"open-claim">,
    position: types.LogPosition,
  ): CommandResult {
    this.expire(position.timeMs);
    const existing = this.get(command.workspace, command.key);
    if (existing === undefined) return this.#create(command, position);
    if (existing.phase.kind === "released") {
      return this.#reopen(existing, command, position);
    }
    if (existing.request !== command.request) return { kind: "claim-conflict" };
    switch (existing.phase.kind) {
      case "open":
        return isResend(existing, command)
          ? { kind: "claimed", index: existing.index }
          : { kind: "claim-running", host: existing.host };
      case "unknown":
        return { kind: "claim-unknown" };
      case "answered":
        return { kind: "claim-answered", answer: existing.phase.answer };
      default:
        return protocol.errors.assertNever(existing.phase);
    }
  }

  /** Records the answer of a claim; a repeated close changes nothing. */
  close(
    command: Command<"close-claim">,
    position: types.LogPosition,
  ): CommandResult {
    const claim = this.#findOwned(command);
    if (claim === undefined || claim.phase.kind === "released") {
      return results.notFound("the host does not hold this claim");
    }
    if (claim.phase.kind !== "answered") {
      const answer = this.#limitAnswer(command.answer);
      this.#setPhase(claim, {
        kind: "answered",
        sinceMs: position.timeMs,
        answer,
      });
    }
    return results.done(position.index);
  }

  /**
   * Releases a claim of which nothing ran. If the host doesn't own the claim,
   * the attempt is blocked instead, because its `open-claim` may still arrive.
   */
  release(
    command: Command<"release-claim">,
    position: types.LogPosition,
  ): CommandResult {
    const claim = this.#findOwned(command);
    if (claim === undefined) return this.#blockAttempt(command, position);
    if (claim.phase.kind === "answered") {
      return results.notFound("the host does not hold this claim");
    }
    if (claim.phase.kind !== "released") {
      this.#setPhase(claim, { kind: "released", sinceMs: position.timeMs });
    }
    return results.done(position.index);
  }

  /** Sets the open claims of a lost host to unknown. */
  loseHost(owner: types.Owner, timeMs: number): void {
    for (const claim of this.openClaimsOf(owner)) {
      this.#setPhase(claim, { kind: "unknown", sinceMs: timeMs });
    }
  }

  /** Sets claims open for too long to unknown, and removes old ended claims. */
  expire(timeMs: number): void {
    for (const claim of this.#open.values()) {
      if (claim.phase.sinceMs + MAX_OPEN_MS > timeMs) break;
      this.#setPhase(claim, { kind: "unknown", sinceMs: timeMs });
    }
    for (const claim of this.#ended.values()) {
      if (claim.phase.sinceMs + types.RETENTION_MS > timeMs) break;
      this.#remove(claim);
    }
  }

  toSnapshot(): Claim[] {
    return [...this.#open.values(), ...this.#ended.values()];
  }

  #create(
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

  /**
   * Stores a released claim for an attempt that was given up, so that an
   * `open-claim` of this attempt that arrives later opens nothing.
   */
  #blockAttempt(
    command: Command<"release-claim">,
    position: types.LogPosition,
  ): CommandResult {
    const existing = this.get(command.workspace, command.key);
    const isFree = existing === undefined || existing.phase.kind === "released";
    if (command.attempt === undefined || !isFree) {
      return results.notFound("the host does not hold this claim");
    }
    if (existing !== undefined) this.#remove(existing);
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

  /**
   * Replaces a released claim, except for a late proposal of its own attempt.
   */
  #reopen(
    released: Claim,
    command: Command<"open-claim">,
    position: types.LogPosition,
  ): CommandResult {
    if (isResend(released, command)) {
      return results.notFound("this attempt has released its claim");
    }
    this.#remove(released);
    return this.#create(command, position);
  }

  /** Finds the claim that a command names, if its owner sent the command. */
  #findOwned(
    command: Command<"close-claim"> | Command<"release-claim">,
  ): Claim | undefined {
    const claim = this.get(command.workspace, command.key);
    if (claim === undefined) return undefined;
    if (!results.isSameOwner(claim, command)) return undefined;
    const expectedIndex = command.claim ?? claim.index;
    if (expectedIndex !== claim.index) return undefined;
    if (command.kind === "close-claim") return claim;
    const attempt = command.attempt ?? claim.attempt;
    return attempt === claim.attempt ? claim : undefined;
  }

  /** Replaces an answer that exceeds the memory for answers by an error. */
  #limitAnswer(
    answer: protocol.state.StoredResponse,
  ): protocol.state.StoredResponse {
    const length = this.#answerLength + answer.body.length;
    if (length <= this.#limits.claimAnswerLength) return answer;
    return results.errorAnswer(
      protocol.errors.ANSWER_NOT_KEPT,
      "the memory for answers is used up",
    );
  }

  #setPhase(claim: Claim, phase: ClaimPhase): void {
    this.#remove(claim);
    this.#put({ ...claim, phase });
  }

  #put(claim: Claim): void {
    const target = claim.phase.kind === "open" ? this.#open : this.#ended;
    target.set(formatName(claim.workspace, claim.key), claim);
    const count = this.#countByWorkspace.get(claim.workspace) ?? 0;
    this.#countByWorkspace.set(claim.workspace, count + 1);
    this.#answerLength += getAnswerLength(claim);
  }

  #remove(claim: Claim): void {
    const name = formatName(claim.workspace, claim.key);
    this.#open.delete(name);
    this.#ended.delete(name);
    const count = (this.#countByWorkspace.get(claim.workspace) ?? 1) - 1;
    if (count > 0) this.#countByWorkspace.set(claim.workspace, count);
    else this.#countByWorkspace.delete(claim.workspace);
    this.#answerLength -= getAnswerLength(claim);
  }
}

function isResend(claim: Claim, command: Command<"open-claim">): boolean {
  return claim.attempt !== undefined && claim.attempt === command.attempt &&
    results.isSameOwner(claim, command);
}
