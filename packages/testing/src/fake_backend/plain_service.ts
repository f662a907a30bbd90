import { Buffer } from "node:buffer";
import * as timers from "node:timers/promises";
import * as crossing from "./crossing.ts";
import type * as engine from "./engine.ts";
import type * as journal from "./journal.ts";
import type * as types from "./types.ts";

/** Methods without an effect that a repetition could double. */
const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/** What a plain service needs of its server. */
export interface PlainServiceOptions {
  readonly faults: types.Faults;
  readonly journal: journal.Journal;
  readonly incarnation: () => string;
  readonly callMs: number;
}

interface Answer {
  readonly requestId: string | undefined;
  readonly body: string;
}

/** Executes any call and answers with what it received. */
export class PlainService {
  readonly #options: PlainServiceOptions;
  readonly #crossing = new crossing.Crossing<Answer>();

  constructor(options: PlainServiceOptions) {
    this.#options = options;
  }

  /** Answers a call that was admitted. */
  async answer(exchange: engine.Exchange): Promise<void> {
    const { call, response } = exchange;
    const { faults, callMs } = this.#options;
    this.#execute(call);
    const delayMs = callMs + faults.lateMs;
    if (delayMs > 0) await timers.setTimeout(delayMs);
    const { requestId } = call;
    const body = JSON.stringify({
      method: call.method,
      path: call.path,
      body: call.body,
    });
    const own: Answer = { requestId, body };
    const answer = faults.crossed ? await this.#crossing.swap(own) : own;
    call.outcome = "answered";
    if (faults.lostAnswers) {
      response.destroy();
      return;
    }
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer.body),
      ...(answer.requestId === undefined
        ? {}
        : { "x-request-id": answer.requestId }),
    });
    response.end(call.method === "HEAD" ? undefined : answer.body);
  }

  #execute(call: types.ReceivedCall): void {
    if (SAFE_METHODS.has(call.method)) return;
    this.#options.journal.addExecution({
      id: executionId(call.body),
      method: call.method,
      path: call.path,
      incarnation: this.#options.incarnation(),
    });
  }
}

/** Returns `orderId` of a JSON body, or the body itself. */
function executionId(body: string): string {
  try {
    const { orderId } = JSON.parse(body) as { orderId?: unknown };
    return typeof orderId === "string" ? orderId : body;
  } catch {
    return body;
  }
}
