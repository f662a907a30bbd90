import type * as http from "node:http";
import { backend } from "@ebonypath/protocol";
import * as v from "valibot";
import type * as accelerator from "./accelerator.ts";
import * as httpBody from "./http_body.ts";
import type * as journal from "./journal.ts";
import type * as types from "./types.ts";

/** What the handling of orders needs of its server. */
export interface OrderDeskOptions {
  readonly accelerator: accelerator.Accelerator;
  readonly faults: types.Faults;
  readonly journal: journal.Journal;
  readonly checksFencing: boolean;
  readonly incarnation: () => string;
  readonly isLeaving: () => boolean;
  readonly crash: (why: string) => void;
}

/** Handles `POST /orders`. */
export class OrderDesk {
  readonly #options: OrderDeskOptions;
  #highestFence = 0;

  constructor(options: OrderDeskOptions) {
    this.#options = options;
  }

  async handle(body: string, response: http.ServerResponse): Promise<void> {
    const order = parse(body);
    if (order === undefined) {
      return httpBody.sendJson(response, 400, { error: "invalid order" });
    }
    const entry: types.ReceivedOrder = { order, result: undefined };
    this.#options.journal.addOrder(entry);
    if (this.#options.faults.crashOnLoad === order.model) {
      return this.#options.crash(`load of ${order.model}`);
    }
    entry.result = await this.#execute(order);
    if (this.#options.faults.lostOrderAnswers) {
      response.destroy();
      return;
    }
    httpBody.sendJson(response, 200, entry.result);
  }

  async #execute(order: backend.Order): Promise<backend.OrderResult> {
    const refusal = this.#refusal(order);
    if (refusal !== undefined) return { kind: "refused", reason: refusal };
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    switch (order.kind) {
      case "load":
      case "load-adapter":
        return await this.#options.accelerator.load(order);
      case "unload":
      case "unload-adapter":
        return await this.#options.accelerator.unload(order.model);
    }
  }

  #refusal(order: backend.Order): types.OrderRefusal | undefined {
    const { faults, checksFencing, journal } = this.#options;
    if (faults.refusesOrders !== undefined) return faults.refusesOrders;
    if (order.incarnation !== this.#options.incarnation()) {
      return "wrong-incarnation";
    }
    if (order.fence < this.#highestFence) {
      if (checksFencing) return "stale-fence";
      journal.addViolation(
        "stale-fence-accepted",
        `${order.kind} ${order.model}: ${order.fence} after ${this.#highestFence}`,
      );
    }
    const isLoad = order.kind === "load" || order.kind === "load-adapter";
    return isLoad && this.#options.isLeaving() ? "leaving" : undefined;
  }
}

function parse(body: string): backend.Order | undefined {
  try {
    return v.parse(backend.Order, JSON.parse(body));
  } catch {
    return undefined;
  }
}
