/**
 * Messages on their way out, and the addresses of other replicas.
 *
 * @module
 */

import * as process from "node:process";
import { replication } from "@ebonypath/core";
import type { Transport } from "./types.ts";

/** Addresses learned from messages; the oldest are forgotten. */
const MAXIMUM_ADDRESSES = 64;

/** Gathers the messages of one turn and hands them to the transport. */
export class Outbox {
  #transport: Transport;
  #membership: () => replication.Membership;
  #messages = new Map<string, replication.Message[]>();
  #learned = new Map<string, replication.Member>();

  constructor(
    transport: Transport,
    membership: () => replication.Membership,
  ) {
    this.#transport = transport;
    this.#membership = membership;
  }

  /** Notes where a replica answers that may not be a member yet. */
  learn(member: replication.Member): void {
    this.#learned.delete(member.id);
    this.#learned.set(member.id, member);
    const oldest = this.#learned.keys().next().value;
    if (this.#learned.size > MAXIMUM_ADDRESSES && oldest !== undefined) {
      this.#learned.delete(oldest);
    }
  }

  /** A replica by its id, from the membership or from its messages. */
  memberOf(id: string): replication.Member | null {
    const members = replication.allMembers(this.#membership());
    const member = members.find((candidate) => candidate.id === id);
    return member ?? this.#learned.get(id) ?? null;
  }

  /** Sends a message at the end of this turn. */
  send(to: string, message: replication.Message): void {
    if (this.#messages.size === 0) {
      process.nextTick(() => this.#flush());
    }
    const messages = this.#messages.get(to);
    if (messages === undefined) {
      this.#messages.set(to, [message]);
    } else {
      messages.push(message);
    }
  }

  #flush(): void {
    const all = this.#messages;
    this.#messages = new Map();
    for (const [id, messages] of all) {
      const member = this.memberOf(id);
      if (member !== null) {
        this.#transport.send(member, messages);
      }
    }
  }
}
