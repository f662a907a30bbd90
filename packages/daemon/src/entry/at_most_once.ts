/**
 * Non-idempotent requests with an idempotency key: they run at most once, and
 * a resend at any host gets the answer of the first try.
 *
 * @module
 */
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import type * as host from "../host/mod.ts";
import * as security from "../security/mod.ts";
import * as collecting from "./collecting_sink.ts";
import type * as types from "./types.ts";

/** Header that identifies a request among its resends. */
const IDEMPOTENCY_HEADER = "idempotency-key";
/** Longest accepted idempotency key, in characters. */
const KEY_LENGTH = 256;
/** Longest wait for an answer's record before the caller gets it, in ms. */
const RECORD_WAIT_MS = 2_000;
/** When a resend of a running request may be worth while, in seconds. */
const RETRY_AFTER_S = 1;

/** Runs work to its end and gives its answer to the sink. */
export type Run = (
  work: types.Work,
  sink: types.Sink,
  signal: AbortSignal,
) => Promise<void>;

/** What running at most once needs. */
export interface AtMostOnceOptions {
  readonly identity: protocol.control.HostIdentity;
  readonly proposer: host.Proposer;
  /** Proposals that must reach the state even after the caller is gone. */
  readonly proposals: host.RetryingProposer;
  readonly run: Run;
  /** This start of the host was declared lost: it must take a new identity. */
  onHostLost(): void;
  /** Largest answer that is kept for a resend, in bytes. */
  readonly maxAnswerBytes: number;
}

interface ClaimName {
  readonly workspace: string;
  readonly key: string;
  readonly host: string;
  readonly hostIncarnation: string;
}

/** Claims requests before they run, and records their answers. */
export class AtMostOnce {
  readonly #options: AtMostOnceOptions;
  /** Claims that this host works on: a second try must not join them. */
  readonly #active = new Set<string>();

  constructor(options: AtMostOnceOptions) {
    this.#options = options;
  }

  /** Claims held or being settled by this host. */
  get activeCount(): number {
    return this.#active.size;
  }

  /**
   * Runs a request under its idempotency key.
   *
   * @throws {protocol.errors.Refusal} the claim was not given
   */
  async run(
    work: types.Work,
    workspace: string,
    key: string,
    sink: types.Sink,
  ): Promise<void> {
    const claim = this.#nameOf(workspace, key);
    const name = `${claim.workspace}/${claim.key}`;
    if (this.#active.has(name)) throw stillRunning("this host");
    this.#active.add(name);
    try {
      await this.#runClaimed(work, claim, sink);
    } finally {
      this.#active.delete(name);
    }
  }

  async #runClaimed(
    work: types.Work,
    claim: ClaimName,
    sink: types.Sink,
  ): Promise<void> {
    const result = await this.#open(work, claim);
    switch (result.kind) {
      case "claimed":
        return await this.#execute(work, claim, result.index, sink);
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

  async #open(
    work: types.Work,
    claim: ClaimName,
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
      // The claim may still be committed later: it has to be given back.
      await this.#release(claim, { attempt: work.requestId });
      throw new protocol.errors.Refusal(
        protocol.errors.NOT_CURRENT,
        "the claim could not be committed in time",
        { step: "open-claim", cause },
      );
    }
  }

  /** The caller may leave: the answer is recorded all the same. */
  async #execute(
    work: types.Work,
    claim: ClaimName,
    index: number,
    sink: types.Sink,
  ): Promise<void> {
    const { maxAnswerBytes } = this.#options;
    const collected = new collecting.CollectingSink(maxAnswerBytes);
    const signal = new AbortController().signal;
    await this.#options.run(work, collected, signal);
    const answer = collected.collected;
    if (answer.outcome === "not-run") {
      await this.#release(claim, { claim: index });
    } else {
      await this.#close(claim, index, answer);
    }
    collected.passOn(sink);
  }

  async #close(
    claim: ClaimName,
    index: number,
    answer: protocol.state.StoredResponse,
  ): Promise<void> {
    await within(this.#options.proposals.send({
      kind: "close-claim",
      ...claim,
      claim: index,
      answer,
    }));
  }

  async #release(
    claim: ClaimName,
    which: { claim: number } | { attempt: string },
  ): Promise<void> {
    await within(this.#options.proposals.send({
      kind: "release-claim",
      ...claim,
      ...which,
    }));
  }

  #nameOf(workspace: string, key: string): ClaimName {
    return {
      workspace,
      key: security.digest(key),
      host: this.#options.identity.name,
      hostIncarnation: this.#options.identity.incarnation,
    };
  }
}

/**
 * The idempotency key of a request, if it has one.
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
    typeof header === "string" && header !== "" && header.length <= KEY_LENGTH
  ) return header;
  throw refusal(
    protocol.errors.INVALID_REQUEST,
    `${IDEMPOTENCY_HEADER}: from 1 to ${KEY_LENGTH} characters`,
  );
}

async function within(settled: Promise<unknown>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, RECORD_WAIT_MS);
  });
  await Promise.race([settled, timeout]);
  clearTimeout(timer);
}

function stillRunning(where: string): protocol.errors.Refusal {
  return new protocol.errors.Refusal(
    protocol.errors.STILL_RUNNING,
    `the first try runs at ${where}`,
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
