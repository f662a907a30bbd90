/**
 * At-most-once execution of non-idempotent requests with an idempotency key. A
 * resend, to any host, gets the answer of the first attempt.
 *
 * @module
 */
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import * as security from "../security/mod.ts";
import * as collecting from "./collecting_sink.ts";
import type * as types from "./types.ts";

/** Header with the key that a request and its resends share. */
const IDEMPOTENCY_HEADER = "idempotency-key";
/** Longest accepted idempotency key, in characters. */
const MAX_KEY_LENGTH = 256;
/**
 * Longest time for which an answer is withheld from its caller until the claim
 * is updated, in milliseconds.
 */
const CLAIM_UPDATE_TIMEOUT_MS = 2_000;
/** Suggested delay before a running request is sent again, in seconds. */
const RETRY_AFTER_S = 1;

/** Runs work to completion and passes its answer to the sink. */
export type RunWork = (
  work: types.Work,
  sink: types.Sink,
  signal: AbortSignal,
) => Promise<void>;

/** Dependencies of {@link AtMostOnce}. */
export interface AtMostOnceOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly proposer: host.Proposer;
  /** Proposals that are retried even after the caller has disconnected. */
  readonly proposals: host.RetryingProposer;
  readonly run: RunWork;
  /**
   * Called when the leader has declared this incarnation of the host lost, so
   * that it has to take a new one.
   */
  onHostLost(): void;
  /** Largest answer that is stored for resends, in bytes. */
  readonly maxAnswerBytes: number;
}

interface ClaimKey {
  readonly workspace: string;
  readonly key: string;
  readonly host: string;
  readonly hostIncarnation: string;
}

/** Opens a claim before a request runs, and records its answer in the claim. */
export class AtMostOnce {
  readonly #options: AtMostOnceOptions;
  /**
   * Claims that this host is processing. A resend that arrives meanwhile is
   * refused, so that it does not share the claim of the running attempt.
   */
  readonly #activeClaims = new Set<string>();

  constructor(options: AtMostOnceOptions) {
    this.#options = options;
  }

  /** Number of claims that this host is processing or settling. */
  get activeCount(): number {
    return this.#activeClaims.size;
  }

  /**
   * Runs a request under its idempotency key.
   *
   * @throws {protocol.errors.Refusal} the claim was not granted
   */
  async run(
    work: types.Work,
    workspace: string,
    key: string,
    sink: types.Sink,
  ): Promise<void> {
    const claim = this.#claimKey(workspace, key);
    const name = `${claim.workspace}/${claim.key}`;
    if (this.#activeClaims.has(name)) throw stillRunning("this host");
    this.#activeClaims.add(name);
    try {
      await this.#runClaimed(work, claim, sink);
    } finally {
      this.#activeClaims.delete(name);
    }
  }

  async #runClaimed(
    work: types.Work,
    claim: ClaimKey,
    sink: types.Sink,
  ): Promise<void> {
    const result = await this.#openClaim(work, claim);
    switch (result.kind) {
      case "claimed":
        return await this.#executeClaimed(work, claim, result.index, sink);
      case "claim-answered":
        return collecting.replay(result.answer, sink);
      case "claim-running":
        throw stillRunning(result.host);
      case "claim-conflict":
        throw refusal(
          protocol.errors.IDEMPOTENCY_CONFLICT,
          "the key was used with another request",
        );
      case "claim-unknown":
        throw refusal(
          protocol.errors.OUTCOME_UNKNOWN,
          "the host that ran the first try was lost",
        );
      case "host-lost":
        this.#options.onHostLost();
        throw refusal(
          protocol.errors.NOT_CURRENT,
          "the host was taken for lost and starts anew",
        );
      default:
        throw refusal(
          protocol.errors.NO_CAPACITY,
          `no claim could be opened: ${result.kind}`,
        );
    }
  }

  async #openClaim(
    work: types.Work,
    claim: ClaimKey,
  ): Promise<protocol.state.CommandResult> {
    const command = {
      kind: "open-claim",
      ...claim,
      request: work.fingerprint,
      attempt: work.requestId,
    } as const;
    try {
      return await this.#options.proposer.propose(command);
    } catch (cause) {
      // The proposal may still be committed later, so the claim is released.
      await this.#releaseClaim(claim, { attempt: work.requestId });
      throw new protocol.errors.Refusal(
        protocol.errors.NOT_CURRENT,
        "the claim could not be committed in time",
        { step: "open-claim", cause },
      );
    }
  }

  /** Runs to the end and records the answer even if the caller disconnects. */
  async #executeClaimed(
    work: types.Work,
    claim: ClaimKey,
    index: number,
    sink: types.Sink,
  ): Promise<void> {
    const { maxAnswerBytes } = this.#options;
    const collected = new collecting.CollectingSink(maxAnswerBytes);
    const signal = new AbortController().signal;
    await this.#options.run(work, collected, signal);
    const answer = collected.collected;
    if (answer.outcome === "not-run") {
      await this.#releaseClaim(claim, { claim: index });
    } else {
      await this.#closeClaim(claim, index, answer);
    }
    collected.forwardTo(sink);
  }

  async #closeClaim(
    claim: ClaimKey,
    index: number,
    answer: protocol.state.StoredResponse,
  ): Promise<void> {
    await settleOrTimeOut(this.#options.proposals.send({
      kind: "close-claim",
      ...claim,
      claim: index,
      answer,
    }));
  }

  async #releaseClaim(
    claim: ClaimKey,
    selector: { claim: number } | { attempt: string },
  ): Promise<void> {
    await settleOrTimeOut(this.#options.proposals.send({
      kind: "release-claim",
      ...claim,
      ...selector,
    }));
  }

  #claimKey(workspace: string, key: string): ClaimKey {
    return {
      workspace,
      key: security.digest(key),
      host: this.#options.identity.name,
      hostIncarnation: this.#options.identity.incarnation,
    };
  }
}

/**
 * Returns the idempotency key of a request, or null without one.
 *
 * @throws {protocol.errors.Refusal} the key is empty or too long
 *
 * @example
 * ```ts
 * const key = idempotencyKey(request);
 * ```
 */
export function idempotencyKey(request: http.IncomingMessage): string | null {
  const header = request.headers[IDEMPOTENCY_HEADER];
  if (header === undefined) return null;
  if (
    typeof header === "string" && header !== "" &&
    header.length <= MAX_KEY_LENGTH
  ) return header;
  throw refusal(
    protocol.errors.INVALID_REQUEST,
    `${IDEMPOTENCY_HEADER}: from 1 to ${MAX_KEY_LENGTH} characters`,
  );
}

async function settleOrTimeOut(settled: Promise<unknown>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, CLAIM_UPDATE_TIMEOUT_MS);
  });
  await Promise.race([settled, timeout]);
  clearTimeout(timer);
}

function stillRunning(runner: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.STILL_RUNNING,
    `the first try runs at ${runner}`,
    { step: "open-claim", retryAfterSeconds: RETRY_AFTER_S },
  );
}

function refusal(
  definition: protocol.errors.ProblemDefinition,
  detail: string,
): protocol.errors.Refusal {
  return new protocol.errors.Refusal(definition, detail, {
    step: "open-claim",
  });
}
