import * as protocol from "@ebonypath/protocol";

const { maxHeldBytes, maxRequestsAhead } = protocol.settings.CLIENT_DEFAULTS;

/** Bounds of what the clients of one listener hold at a host. */
export type ClientLimits = {
  /** Connections. */
  readonly maxConnections: number;
  /** Requests sent ahead on a connection, before the answer to an earlier one. */
  readonly maxRequestsAhead: number;
  /** The same on all connections together. */
  readonly maxRequestsAheadInAll: number;
  /** Bodies that are on their way, all together, in bytes. */
  readonly maxBodyBytes: number;
  /** Answers that are not read, all together, in bytes. */
  readonly maxUnreadBytes: number;
  /** Time from the first byte of a request to its last, in milliseconds. */
  readonly bodyTimeoutMs: number;
};

/**
 * Limits of a listener, but for its connections. No client inside the pages'
 * limits meets them: these send a request when they have the answer to the one
 * before. Twelve bodies of 4 MiB may be on their way at once, and a body may come
 * at 35 KB/s; what is held is less than a heap of 200 MB.
 */
export const DEFAULT_LIMITS: Omit<ClientLimits, "maxConnections"> = {
  maxRequestsAhead,
  maxRequestsAheadInAll: 512,
  maxBodyBytes: maxHeldBytes,
  maxUnreadBytes: maxHeldBytes,
  bodyTimeoutMs: 120_000,
};

/**
 * Part of the heap that bodies on their way may take, and the same for unread
 * answers. A read of all connections may add as much before any is closed.
 */
const HEAP_FRACTION = 1 / 4;

/**
 * Returns limits that a process with this heap can bear. A heap of 200 MB bears the
 * usual ones.
 *
 * @param heapBytes size up to which the heap may grow, in bytes
 *
 * @example
 * ```ts
 * withinHeap(limits, 67_108_864).maxBodyBytes; // 16_777_216
 * ```
 */
export function withinHeap(
  limits: ClientLimits,
  heapBytes: number,
): ClientLimits {
  const maxBytes = Math.floor(heapBytes * HEAP_FRACTION);
  return {
    ...limits,
    maxBodyBytes: Math.min(limits.maxBodyBytes, maxBytes),
    maxUnreadBytes: Math.min(limits.maxUnreadBytes, maxBytes),
  };
}

/** Memory of a host that bears the usual limits, in MB. */
const USUAL_MEMORY_MB = 250;
/** Memory that a process takes beside what its clients hold, in MB. */
const PROCESS_MEMORY_MB = 90;
/** Least fraction of the usual limits, on however small a host. */
const MIN_MEMORY_FRACTION = 0.1;

/**
 * Returns the fraction of the usual limits of memory that a host bears; 1 for
 * hosts with the usual memory or more.
 *
 * @example
 * ```ts
 * memoryFraction(210); // 0.75
 * ```
 */
export function memoryFraction(memoryMb: number): number {
  const fraction = (memoryMb - PROCESS_MEMORY_MB) /
    (USUAL_MEMORY_MB - PROCESS_MEMORY_MB);
  return Math.min(1, Math.max(MIN_MEMORY_FRACTION, fraction));
}

/**
 * Returns limits that a host with this memory can bear.
 *
 * @example
 * ```ts
 * withinMemory(limits, 210).maxBodyBytes; // 37_748_736
 * ```
 */
export function withinMemory<
  Limits extends Pick<ClientLimits, "maxBodyBytes" | "maxUnreadBytes">,
>(limits: Limits, memoryMb: number): Limits {
  const fraction = memoryFraction(memoryMb);
  return {
    ...limits,
    maxBodyBytes: Math.floor(limits.maxBodyBytes * fraction),
    maxUnreadBytes: Math.floor(limits.maxUnreadBytes * fraction),
  };
}

/** Why a client's connection is closed. */
export type ClientFault =
  | "connections"
  | "requests-ahead"
  | "body-bytes"
  | "unread-bytes"
  | "timeout";

/** Descriptors of a host that are kept for files (users' pages). */
const FILE_DESCRIPTORS = 200;
/** Part of the others that callers get; the rest is for backend servers. */
const CALLERS_FRACTION = 0.75;
/** Part of the others that each listener for other processes gets. */
const PROCESSES_FRACTION = 0.4;
/** Connections per MB of memory: one that is idle takes 14 KB (Node.js 20.19). */
const CONNECTIONS_PER_MB = 10;

/** What a host has for its listeners. */
export type HostCapacity = {
  /** Open descriptors that it may have. */
  readonly descriptors: number;
  /** Memory, in MB. */
  readonly memoryMb: number;
};

/**
 * Returns how many connections a listener may have.
 *
 * @example
 * ```ts
 * connectionLimit("callers", { descriptors: 4_100, memoryMb: 250 }); // 2500
 * ```
 */
export function connectionLimit(
  use: "callers" | "processes",
  { descriptors, memoryMb }: HostCapacity,
): number {
  const fraction = use === "callers" ? CALLERS_FRACTION : PROCESSES_FRACTION;
  const byDescriptors = (descriptors - FILE_DESCRIPTORS) * fraction;
  return Math.max(
    1,
    Math.floor(Math.min(byDescriptors, memoryMb * CONNECTIONS_PER_MB)),
  );
}
