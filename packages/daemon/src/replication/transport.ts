/**
 * Sends messages between replicas as JSON-RPC notifications over HTTP.
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

/** Time limit of a request; its connection is closed when it expires. */
const DEFAULT_REQUEST_TIMEOUT_MS = 300;
/** Size limit of the queue for one peer; the oldest messages are dropped. */
const MAX_QUEUE_BYTES = 8 * 1024 * 1024;
/** Length limit of the queue for one peer; the oldest messages are dropped. */
const MAX_QUEUE_MESSAGES = 512;
/** Size limit of the messages in one request; a larger message is sent alone. */
const MAX_BATCH_BYTES = 4 * 1024 * 1024;
/** Maximum number of links; the least recently used one is closed. */
const MAX_LINKS = 64;

/** Options of {@link HttpTransport}. */
export type HttpTransportOptions = fleet.LinkOptions & {
  /** Id and address of this replica. */
  self: replication.Member;
  /** Time limit of a request, in milliseconds. */
  requestTimeoutMs?: number;
};

const log = createLog("replication");

/**
 * Sends messages to the fleet listeners of other replicas, with one request at a
 * time for each peer. Messages that can't be sent are dropped; the replica
 * retransmits them.
 *
 * @example
 * ```ts
 * await using transport = new HttpTransport({ self, secret });
 * transport.send(peer, [{ kind: "timeoutNow", term: 3 }]);
 * ```
 */
export class HttpTransport implements Transport {
  #options: HttpTransportOptions;
  #links = new Map<string, PeerLink>();

  constructor(options: HttpTransportOptions) {
    this.#options = options;
  }

  send(to: replication.Member, messages: replication.Message[]): void {
    const link = this.#linkTo(to);
    messages.forEach((message) => link.enqueue(message));
    link.sendQueued();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const links = [...this.#links.values()];
    this.#links.clear();
    await Promise.all(links.map((link) => link.close()));
  }

  #linkTo(peer: replication.Member): PeerLink {
    const existing = this.#links.get(peer.id);
    this.#links.delete(peer.id);
    const isUsable = existing !== undefined &&
      existing.peer.address === peer.address;
    const link = isUsable ? existing : new PeerLink(peer, this.#options);
    if (!isUsable) {
      void existing?.close();
    }
    this.#links.set(peer.id, link);
    this.#closeLeastRecentlyUsed();
    return link;
  }

  #closeLeastRecentlyUsed(): void {
    const oldest = this.#links.entries().next().value;
    if (this.#links.size > MAX_LINKS && oldest !== undefined) {
      const [id, link] = oldest;
      this.#links.delete(id);
      void link.close();
    }
  }
}

/** The message queue for one peer, and the connection to it. */
class PeerLink {
  readonly peer: replication.Member;
  #options: HttpTransportOptions;
  #client: undici.Client | null = null;
  readonly #offers = new fleet.EncodingOffers();
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
      this.#queue.length > MAX_QUEUE_MESSAGES ||
      this.#queuedBytes > MAX_QUEUE_BYTES
    ) {
      this.#queuedBytes -= this.#queue.shift()?.length ?? 0;
    }
  }

  /** Sends queued messages, unless a request is in flight. */
  sendQueued(): void {
    if (this.#isSending || this.#isClosed || this.#queue.length === 0) {
      return;
    }
    this.#isSending = true;
    void this.#post(this.#takeBatch()).then(() => {
      this.#isSending = false;
      this.sendQueued();
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
      if (batch.length > 0 && bytes > MAX_BATCH_BYTES) {
        break;
      }
      batch.push(this.#queue.shift() as string);
    }
    this.#queuedBytes -= batch.reduce((sum, text) => sum + text.length, 0);
    return batch;
  }

  async #post(batch: string[]): Promise<void> {
    const timeoutMs = this.#options.requestTimeoutMs ??
      DEFAULT_REQUEST_TIMEOUT_MS;
    const client = this.#openClient();
    const { id } = this.peer;
    const { bytes, headers } = this.#offers.encode(
      id,
      this.#encodeRequest(batch),
    );
    try {
      const response = await client.request({
        path: "/rpc",
        method: "POST",
        headers: {
          "authorization": `Bearer ${this.#options.secret}`,
          ...headers,
        },
        body: bytes,
        signal: AbortSignal.timeout(timeoutMs),
      });
      await response.body.dump();
      const isWorking = response.statusCode < 300;
      this.#offers.record(id, response);
      this.#logStateChange(isWorking, `status ${response.statusCode}`);
    } catch (error) {
      this.#client = null;
      this.#offers.forget(id);
      this.#logStateChange(
        false,
        error instanceof Error ? error.message : "unknown",
      );
      await client.destroy().catch(() => undefined);
    }
  }

  #encodeRequest(batch: string[]): Buffer {
    const { self } = this.#options;
    const method = JSON.stringify(protocol.replication.MESSAGES_METHOD);
    const from = JSON.stringify(self);
    const to = JSON.stringify(this.peer.id);
    return Buffer.from(
      `{"jsonrpc":"2.0","method":${method},"params":` +
        `{"from":${from},"to":${to},"messages":[${batch.join(",")}]}}`,
    );
  }

  #openClient(): undici.Client {
    const timeoutMs = this.#options.requestTimeoutMs ??
      DEFAULT_REQUEST_TIMEOUT_MS;
    this.#client ??= new undici.Client(
      fleet.peerOrigin(this.#options, this.peer.address),
      { ...fleet.connectOptions(this.#options, timeoutMs), pipelining: 1 },
    );
    return this.#client;
  }

  /** Logs when the link starts to fail and when it works again. */
  #logStateChange(isWorking: boolean, reason: string): void {
    if (this.#isFailing !== isWorking) {
      return;
    }
    this.#isFailing = !isWorking;
    const event = isWorking ? "link_restored" : "link_failed";
    const { id, address } = this.peer;
    log(event, { peer: id, address, reason });
  }
}
