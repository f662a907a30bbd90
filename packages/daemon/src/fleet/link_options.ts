import type * as undici from "undici";

/** How to reach the fleet listeners of other hosts. */
export interface LinkOptions {
  /** The fleet's shared secret. */
  readonly secret: string;
  /** TLS options for the links; plain TCP where absent. */
  readonly tls?: undici.buildConnector.BuildOptions;
  /** IP address that connections are opened from; the system chooses one. */
  readonly source?: string;
}

/**
 * Origin of the fleet listener at an address.
 *
 * @example
 * ```ts
 * originOf({ secret }, "127.0.0.1:7001"); // "http://127.0.0.1:7001"
 * ```
 */
export function peerOrigin({ tls }: LinkOptions, peer: string): string {
  return `${tls === undefined ? "http" : "https"}://${peer}`;
}

/**
 * The part of a client's options that opens connections.
 *
 * @param timeoutMs longest wait for a connection, in milliseconds
 *
 * @example
 * ```ts
 * new undici.Client(originOf(options, peer), connecting(options, 1_000));
 * ```
 */
export function connectOptions(
  { source, tls }: LinkOptions,
  timeoutMs: number,
): Pick<undici.Client.Options, "connect" | "localAddress"> {
  return {
    connect: { timeout: timeoutMs, ...tls },
    ...(source === undefined ? {} : { localAddress: source }),
  };
}
