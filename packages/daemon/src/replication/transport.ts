/**
 * Messages between replicas as JSON-RPC notifications over HTTP.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { replication } from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as undici from "undici";
import * as fleet from "../fleet/mod.ts";
import { createLog } from "../log/mod.ts";
import type { Transport } from "./types.ts";

/** A request without an answer after this time ends with its connection. */
const REQUEST_TIMEOUT_MS = 300;
/** Bytes of messages that wait for one peer; the oldest are dropped. */
const QUEUE_BYTES = 8 * 1024 * 1024;
/** Messages that wait for one peer; the oldest are dropped. */
const QUEUE_MESSAGES = 512;
/** Bytes of messages in one request. */
const BATCH_BYTES = 4 * 1024 * 1024;
/** Peers with a link; the one that was used longest ago is dropped. */
const MAXIMUM_LINKS = 64;

/** Options of {@link HttpTransport}. */
export type HttpTransportOptions = fleet.LinkOptions & {
  /** This replica, as the others reach it. */
  self: replication.Member;
  /** Time after which a request counts as lost, in milliseconds. */
  requestTimeoutMs?: number;
};

const log = createLog("replication");

/**
 * Sends to the fleet listeners of other replicas, one request at a time to
 * each. What can't be sent is dropped; the replica sends it again.
 *
 * @example
 * ```ts
 * await using transport = new HttpTransport({ self, secret });
 * transport.send(peer, [{ kind: "timeoutNow", term: 3 }]);
 * ```
 */
export class HttpTransport implements Transport {
  #options: HttpTransportOptions;
  #links = new Map<string, Link>();

  constructor(options: HttpTransportOptions) {
    this.#options = options;
  }

  send(to: replication.Member, messages: replication.Message[]): void {
    const link = this.#linkTo(to);
    messages.forEach((message) => link.enqueue(message));
    link.pump();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const links = [...this.#links.values()];
    this.#links.clear();
    await Promise.all(links.map((link) => link.close()));
  }

  #linkTo(peer: replication.Member): Link {
    const present = this.#links.get(peer.id);
    this.#links.delete(peer.id);
    const isUsable = present !== undefined &&
      present.peer.address === peer.address;
    const link = isUsable ? present : new Link(peer, this.#options);
    if (!isUsable) {
      void present?.close();
    }
    this.#links.set(peer.id, link);
    this.#dropOldest();
    return link;
  }

  #dropOldest(): void {
    const oldest = this.#links.entries().next().value;
    if (this.#links.size > MAXIMUM_LINKS && oldest !== undefined) {
      const [id, link] = oldest;
      this.#links.delete(id);
      void link.close();
    }
  }
}

/** The messages that wait for one peer, and the connection to it. */
class Link {
  readonly peer: replication.Member;
  #options: HttpTransportOptions;
  #client: undici.Client | null = null;
  #queue: string[] = [];
  #queuedBytes = 0;
  #isSending = false;
  #isFailing = false;
  #isClosed = false;

  constructor(peer: replication.Member, options: HttpTransportOptions) {
    this.peer = peer;
    this.#options = options;
  }

  enqueue(message: replication.Message): void {
    const text = JSON.stringify(message);
    this.#queue.push(text);
    this.#queuedBytes += text.length;
    while (
      this.#queue.length > QUEUE_MESSAGES || this.#queuedBytes > QUEUE_BYTES
    ) {
      this.#queuedBytes -= this.#queue.shift()?.length ?? 0;
    }
  }

  /** Sends what waits, unless a request is on its way. */
  pump(): void {
    if (this.#isSending || this.#isClosed || this.#queue.length === 0) {
      return;
    }
    this.#isSending = true;
    void this.#post(this.#takeBatch()).then(() => {
      this.#isSending = false;
      this.pump();
    });
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#queue = [];
    await this.#client?.destroy();
  }

  #takeBatch(): string[] {
    const batch: string[] = [];
    let bytes = 0;
    while (this.#queue[0] !== undefined) {
      bytes += this.#queue[0].length;
      if (batch.length > 0 && bytes > BATCH_BYTES) {
        break;
      }
      batch.push(this.#queue.shift() as string);
    }
    this.#queuedBytes -= batch.reduce((sum, text) => sum + text.length, 0);
    return batch;
  }

  async #post(batch: string[]): Promise<void> {
    const timeoutMs = this.#options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
    const client = this.#connect();
    try {
      const answer = await client.request({
        path: "/rpc",
        method: "POST",
        headers: { "authorization": `Bearer ${this.#options.secret}` },
        body: this.#body(batch),
        signal: AbortSignal.timeout(timeoutMs),
      });
      await answer.body.dump();
      this.#report(answer.statusCode < 300, `status ${answer.statusCode}`);
    } catch (error) {
      this.#client = null;
      this.#report(false, error instanceof Error ? error.message : "unknown");
      await client.destroy().catch(() => undefined);
    }
  }

  #body(batch: string[]): Buffer {
    const { self } = this.#options;
    const method = JSON.stringify(protocol.replication.MESSAGES_METHOD);
    const from = JSON.stringify(self);
    const to = JSON.stringify(this.peer.id);
    return Buffer.from(
      `{"jsonrpc":"2.0","method":${method},"params":` +
        `{"from":${from},"to":${to},"messages":[${batch.join(",")}]}}`,
    );
  }

  #connect(): undici.Client {
    const timeoutMs = this.#options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS;
    this.#client ??= new undici.Client(
      fleet.peerOrigin(this.#options, this.peer.address),
      { ...fleet.connectOptions(this.#options, timeoutMs), pipelining: 1 },
    );
    return this.#client;
  }

  /** One line when a link begins to fail and one when it works again. */
  #report(isWorking: boolean, reason: string): void {
    if (this.#isFailing !== isWorking) {
      return;
    }
    this.#isFailing = !isWorking;
    const event = isWorking ? "link_restored" : "link_failed";
    const { id, address } = this.peer;
    log(event, { peer: id, address, reason });
  }
}
