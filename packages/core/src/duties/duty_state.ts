import type { gateway } from "@ebonypath/protocol";

/**
 * Reports that wait to be accepted; the earliest are dropped first. At windows
 * of 5 s it takes the outside party 21 minutes out of reach to get there.
 */
export const MAX_UNDELIVERED_WINDOWS = 256;

/**
 * Most subjects of orders for servers. A writer of false heartbeats can't let the
 * replicated state grow beyond.
 */
export const MAX_SERVER_ORDERS = 1_024;

/** Content of a snapshot. */
export type DutySnapshot = {
  readonly assignments: readonly gateway.DutyAssignment[];
  readonly closedWindow: number | null;
  readonly undelivered: readonly gateway.WindowUsage[];
  readonly droppedWindows: number;
  /** Missing in snapshots of builds that ordered no servers. */
  readonly serverOrders?: readonly gateway.ServerOrder[];
};

/**
 * The replicated part of duties. A fence belongs to one holder, and what is
 * reported for a window is the first content that was committed for it.
 *
 * @example
 * ```ts
 * const duties = new DutyState();
 * duties.hold("usage", "control-1 10.0.0.1:7600");
 * duties.assignmentOf("usage")?.fence; // 1
 * ```
 */
export class DutyState {
  readonly #assignments = new Map<gateway.Duty, gateway.DutyAssignment>();
  readonly #undelivered = new Map<number, gateway.WindowUsage>();
  /** The last order of each service and failure domain. */
  readonly #serverOrders = new Map<string, gateway.ServerOrder>();
  #closedWindow: number | null = null;
  #droppedWindows = 0;

  constructor(snapshot?: DutySnapshot) {
    for (const assignment of snapshot?.assignments ?? []) {
      this.#assignments.set(assignment.duty, assignment);
    }
    for (const usage of snapshot?.undelivered ?? []) {
      this.#undelivered.set(usage.window, usage);
    }
    for (const order of snapshot?.serverOrders ?? []) {
      this.#serverOrders.set(subjectOf(order), order);
    }
    this.#closedWindow = snapshot?.closedWindow ?? null;
    this.#droppedWindows = snapshot?.droppedWindows ?? 0;
  }

  /** Who performs a duty, if anybody has. */
  assignmentOf(duty: gateway.Duty): gateway.DutyAssignment | undefined {
    return this.#assignments.get(duty);
  }

  /** Last window whose content is fixed; null before the first one. */
  get closedWindow(): number | null {
    return this.#closedWindow;
  }

  /** Reports that have not been accepted yet, the earliest first. */
  get undelivered(): gateway.WindowUsage[] {
    return [...this.#undelivered.values()];
  }

  /** Reports that were dropped because too many waited. */
  get droppedWindows(): number {
    return this.#droppedWindows;
  }

  /** The last order of each service and failure domain. */
  get serverOrders(): gateway.ServerOrder[] {
    return [...this.#serverOrders.values()];
  }

  /** Assigns a duty. The holder keeps its fence when it claims it again. */
  hold(duty: gateway.Duty, holder: string): void {
    const previous = this.#assignments.get(duty);
    if (previous?.holder === holder) return;
    const fence = (previous?.fence ?? 0) + 1;
    this.#assignments.set(duty, { duty, holder, fence });
  }

  /** Fixes the content of a window, unless it or a later one is closed. */
  closeWindow({ counts, window }: gateway.WindowUsage): void {
    if (window <= (this.#closedWindow ?? -1)) return;
    this.#closedWindow = window;
    this.#undelivered.set(window, { window, counts });
    const [earliest] = this.#undelivered.keys();
    if (this.#undelivered.size <= MAX_UNDELIVERED_WINDOWS) return;
    if (earliest === undefined) return;
    this.#undelivered.delete(earliest);
    this.#droppedWindows += 1;
  }

  /** Forgets the content of a window, which has been accepted. */
  recordDelivery(window: number): void {
    this.#undelivered.delete(window);
  }

  /**
   * Fixes an order, or records that it was accepted. That of an order which was
   * replaced meanwhile changes nothing.
   */
  orderServers(
    { count, domain, isAccepted, service }: gateway.ServerOrder,
  ): void {
    const order = { service, domain, count, isAccepted };
    const subject = subjectOf(order);
    const known = this.#serverOrders.get(subject);
    if (isAccepted && known?.count !== count) return;
    const isFull = this.#serverOrders.size >= MAX_SERVER_ORDERS;
    if (known === undefined && isFull) return;
    this.#serverOrders.set(subject, order);
  }

  toSnapshot(): DutySnapshot {
    return {
      assignments: [...this.#assignments.values()],
      closedWindow: this.#closedWindow,
      undelivered: this.undelivered,
      droppedWindows: this.#droppedWindows,
      serverOrders: this.serverOrders,
    };
  }
}

function subjectOf({ domain, service }: gateway.ServerOrder): string {
  return JSON.stringify([service, domain]);
}
