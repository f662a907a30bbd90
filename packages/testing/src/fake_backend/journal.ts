import type * as types from "./types.ts";

/** Most entries kept of each kind. */
const KEPT_ENTRIES = 100_000;

/** What a fake backend server has seen, kept over its restarts. */
export class Journal {
  readonly calls: types.ReceivedCall[] = [];
  readonly executions: types.Execution[] = [];
  readonly orders: types.ReceivedOrder[] = [];
  readonly violations: types.Violation[] = [];

  addCall(call: types.ReceivedCall): void {
    push(this.calls, call);
  }

  addExecution(execution: types.Execution): void {
    push(this.executions, execution);
  }

  addOrder(order: types.ReceivedOrder): void {
    push(this.orders, order);
  }

  addViolation(kind: types.Violation["kind"], detail: string): void {
    push(this.violations, { kind, detail });
  }

  /** Counts executions of a non-idempotent call by its id. */
  executionsOf(id: string): number {
    return this.executions.filter((execution) => execution.id === id).length;
  }
}

function push<T>(list: T[], entry: T): void {
  if (list.length >= KEPT_ENTRIES) list.shift();
  list.push(entry);
}
