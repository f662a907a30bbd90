/**
 * Batches outgoing messages and resolves the addresses of other replicas.
 *
 * @module
 */

import * as process from "node:process";
import { replication } from "@ebonypath/core";
import type { Transport } from "./types.ts";

/** Maximum number of recorded senders; the least recent one is dropped. */
const MAX_OBSERVED_MEMBERS = 64;

/**
 * Collects the messages of one turn of the event loop and passes them to the
 * transport in one batch for each peer.
 */
export class MessageOutbox {
  #transport: Transport;
  #membership: () => replication.Membership;
  #messages = new Map<string, replication.Message[]>();
  #observedMembers = new Map<string, replication.Member>();

  constructor(
    transport: Transport,
    membership: () => replication.Membership,
  ) {
    this.#transport = transport;
    this.#membership = membership;
  }

  /** Records the address of a sender, which may not be a member yet. */
  recordAddress(member: replication.Member): void {
    this.#observedMembers.delete(member.id);
    this.#observedMembers.set(member.id, member);
    const oldest = this.#observedMembers.keys().next().value;
    if (
      this.#observedMembers.size > MAX_OBSERVED_MEMBERS && oldest !== undefined
    ) {
      this.#observedMembers.delete(oldest);
    }
  }

  /** Finds a replica by id in the membership, or among recent senders. */
  findMember(id: string): replication.Member | null {
    const members = replication.allMembers(this.#membership());
    const member = members.find((candidate) => candidate.id === id);
    return member ?? this.#observedMembers.get(id) ?? null;
  }

  /** Queues a message that is sent at the end of this turn. */
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
    const messagesByPeer = this.#messages;
    this.#messages = new Map();
    for (const [id, messages] of messagesByPeer) {
      const member = this.findMember(id);
      if (member !== null) {
        this.#transport.send(member, messages);
      }
    }
  }
}
