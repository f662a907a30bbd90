/**
 * Simulated network that loses, duplicates, delays and reorders messages.
 *
 * @module
 */

import type * as replication from "../../src/replication/mod.ts";

const MAX_DELAY_MS = 20;
const MAX_LONG_DELAY_MS = 3000;
const LONG_DELAY_CHANCE = 0.02;
const DUPLICATE_CHANCE = 0.03;

/** Message in transit. */
export type Envelope = {
  from: string;
  to: string;
  message: replication.Message;
  deliverAt: number;
};

/** Links between slots. A slot keeps its links when its disk is lost. */
export class Network {
  /** Fraction of messages that are lost. */
  loss = 0;
  #random: () => number;
  #delayMs: number;
  #cuts = new Set<string>();
  #inFlight: Envelope[] = [];

  constructor(random: () => number, isFast: boolean) {
    this.#random = random;
    this.#delayMs = isFast ? 0 : MAX_DELAY_MS;
  }

  /** Drops messages from one slot to the others from now on. */
  cut(from: string, to: readonly string[]): void {
    to.forEach((other) => this.#cuts.add(`${from}>${other}`));
  }

  /** Cuts the links between a slot and others in both directions. */
  isolate(slot: string, others: readonly string[]): void {
    this.cut(slot, others);
    others.forEach((other) => this.cut(other, [slot]));
  }

  /** Restores the links between a slot and others in both directions. */
  rejoin(slot: string, others: readonly string[]): void {
    for (const other of others) {
      this.#cuts.delete(`${slot}>${other}`);
      this.#cuts.delete(`${other}>${slot}`);
    }
  }

  /** Restores all links and ends message loss. */
  heal(): void {
    this.#cuts.clear();
    this.loss = 0;
  }

  /** Whether two slots can reach each other in both directions. */
  isConnected(one: string, other: string): boolean {
    return !this.#cuts.has(`${one}>${other}`) &&
      !this.#cuts.has(`${other}>${one}`);
  }

  /** Queues a message for delivery, unless it is lost. */
  send(
    from: string,
    to: string,
    message: replication.Message,
    time: number,
  ): void {
    const isCut = this.#cuts.has(`${slotOf(from)}>${slotOf(to)}`);
    if (isCut || this.#random() < this.loss) {
      return;
    }
    const copies = this.#random() < DUPLICATE_CHANCE ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLong = this.#random() < LONG_DELAY_CHANCE;
      const delay = this.#random() *
        (isLong ? MAX_LONG_DELAY_MS : this.#delayMs);
      const deliverAt = time + delay;
      const copied = structuredClone(message);
      this.#inFlight.push({ from, to, message: copied, deliverAt });
    }
  }

  /** Removes and returns the messages that are due, in delivery order. */
  takeDue(time: number, isReady: (to: string) => boolean): Envelope[] {
    const due: Envelope[] = [];
    const later: Envelope[] = [];
    for (const envelope of this.#inFlight) {
      const isDue = envelope.deliverAt <= time && isReady(envelope.to);
      (isDue ? due : later).push(envelope);
    }
    this.#inFlight = later;
    return due.sort((left, right) => left.deliverAt - right.deliverAt);
  }

  /** Drops the messages in transit from a member that carry a membership. */
  dropMemberships(from: string): void {
    this.#inFlight = this.#inFlight.filter((envelope) =>
      envelope.from !== from || !carriesMembership(envelope)
    );
  }
}

/**
 * Returns the slot of a member id, which identifies its links and serves as its
 * address.
 */
export function slotOf(id: string): string {
  return id.split("-")[0] ?? id;
}

function carriesMembership({ message }: Envelope): boolean {
  return message.kind === "append" &&
    message.entries.some(({ payload }) => payload.kind === "membership");
}
