/**
 * Compression of the bodies that hosts of a fleet exchange.
 *
 * Most of their bytes are configurations, which each change sends to all hosts
 * and which compress to less than a quarter.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as zlib from "node:zlib";
import type * as undici from "undici";

/** Value of the headers that offer and state the encoding. */
export const ENCODING = "deflate";
/**
 * Size from which a body is compressed, in bytes. Smaller ones fit a packet, or
 * save less than the headers and the time to compress them.
 */
export const MIN_COMPRESSED_BYTES = 1_024;
/**
 * Size up to which a body is compressed, in bytes. Compressing is synchronous, and
 * this takes some 10 ms; larger ones are snapshots, which are rare.
 */
const MAX_BYTES = 1_048_576;
/** Fastest level: the higher ones save a tenth more and take twice as long. */
const OPTIONS: zlib.ZlibOptions = { level: zlib.constants.Z_BEST_SPEED };

/** Lowest status of a request that was not handled. */
const MIN_ERROR_STATUS = 300;

/** A body as it is sent. */
export type EncodedBody = {
  readonly bytes: Buffer;
  /** Headers that state its encoding; none if it is sent as it is. */
  readonly headers: { readonly "content-encoding"?: typeof ENCODING };
};

/**
 * Compresses a body if that is worth it and the receiver can read it.
 *
 * @param isUnderstood whether the receiver has offered the encoding
 *
 * @example
 * ```ts
 * const { bytes, headers } = encodeBody(Buffer.from(text), true);
 * ```
 */
export function encodeBody(
  bytes: Buffer,
  isUnderstood: boolean,
): EncodedBody {
  const isWorthIt = bytes.length >= MIN_COMPRESSED_BYTES &&
    bytes.length <= MAX_BYTES;
  if (!isUnderstood || !isWorthIt) return { bytes, headers: {} };
  return {
    bytes: zlib.deflateSync(bytes, OPTIONS),
    headers: { "content-encoding": ENCODING },
  };
}

/** Remembers which peers have offered to read compressed bodies. */
export class EncodingOffers {
  readonly #peers = new Set<string>();

  /**
   * Compresses a body if that is worth it and the peer can read it.
   *
   * @example
   * ```ts
   * const { bytes, headers } = offers.encode("127.0.0.1:7001", body);
   * ```
   */
  encode(peer: string, body: Buffer): EncodedBody {
    return encodeBody(body, this.#peers.has(peer));
  }

  /**
   * Takes note of a response. A refusal without an offer may be that of a host of
   * an earlier build that has taken over the address.
   */
  record(
    peer: string,
    { headers, statusCode }: undici.Dispatcher.ResponseData,
  ): void {
    if (acceptsEncoding(headers)) this.#peers.add(peer);
    else if (statusCode >= MIN_ERROR_STATUS) this.forget(peer);
  }

  /** Sends plain bodies to a peer until it offers to read others again. */
  forget(peer: string): void {
    this.#peers.delete(peer);
  }
}

/** Whether the sender of these headers can read compressed bodies. */
export function acceptsEncoding(
  headers: { readonly "accept-encoding"?: string | string[] | undefined },
): boolean {
  return headers["accept-encoding"] === ENCODING;
}

/**
 * Restores the text of a body.
 *
 * @param encoding value of its `content-encoding`, if any
 * @param maxBytes limit of the text, in bytes
 * @throws {Error} the encoding is unknown, or the text is damaged or too large
 *
 * @example
 * ```ts
 * const text = decodeBody(bytes, headers["content-encoding"], 16_777_216);
 * ```
 */
export function decodeBody(
  bytes: Buffer,
  encoding: string | undefined,
  maxBytes: number,
): string {
  switch (encoding) {
    case undefined:
      return bytes.toString("utf8");
    case ENCODING:
      return zlib.inflateSync(bytes, { maxOutputLength: maxBytes })
        .toString("utf8");
    default:
      throw new Error(`unknown encoding ${encoding}`);
  }
}
