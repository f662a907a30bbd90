import * as timers from "node:timers";
import * as undici from "undici";

/** Options for connections to the fleet listeners of other hosts. */
export interface LinkOptions {
  /** Shared secret of the fleet, sent as a bearer token. */
  readonly secret: string;
  /** TLS options; connections use plain TCP if absent. */
  readonly tls?: undici.buildConnector.BuildOptions;
  /** Local IP address of outgoing connections; chosen by the system if absent. */
  readonly source?: string;
}

/**
 * Returns the HTTP origin of the fleet listener at address `peer`.
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
 * Returns the undici client options for opening connections.
 *
 * @param timeoutMs connect timeout, in milliseconds
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
    connect: timedConnector(timeoutMs, tls),
    ...(source === undefined ? {} : { localAddress: source }),
  };
}

/**
 * Returns a connector that keeps its time limit. The timers of undici's own one
 * have a resolution of half a second.
 */
function timedConnector(
  timeoutMs: number,
  tls: undici.buildConnector.BuildOptions | undefined,
): undici.buildConnector.connector {
  const connect = undici.buildConnector({ ...tls, timeout: timeoutMs });
  return (options, callback) => {
    let isOver = false;
    const timer = timers.setTimeout(() => {
      isOver = true;
      const message = `no connection in ${timeoutMs} ms`;
      callback(new undici.errors.ConnectTimeoutError(message), null);
    }, timeoutMs);
    connect(options, (...result) => {
      timers.clearTimeout(timer);
      if (!isOver) callback(...result);
      else result[1]?.destroy();
    });
  };
}
