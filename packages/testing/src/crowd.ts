/**
 * Clients that stay inside no limit: they send what an honest client never sends,
 * on many connections at once, read nothing, and keep these open.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as timers from "node:timers/promises";

/** Connections of a crowd. */
const CONNECTIONS = 60;
/** Connections of a crowd that says little. */
const QUIET_CONNECTIONS = 250;
/** Time for which a crowd sends before the host is looked at, in milliseconds. */
const PRESS_MS = 4_000;

/** What each connection of a crowd sends. */
export interface CrowdBehaviour {
  readonly name: string;
  readonly connections?: number;
  /** Sent once, at the start. */
  readonly start?: string;
  /** Sent again and again after it, until there is `maxBytes` of it. */
  readonly block?: string;
  readonly maxBytes?: number;
  /** Pause between two blocks, in milliseconds. */
  readonly pauseMs?: number;
  /** Whether the client ends its own half after that. */
  readonly isHalfClosed?: boolean;
}

const HOST = "Host: shop.example\r\n";
const ONE_BYTE_CHUNKS = "1\r\nx\r\n".repeat(5_000);
const LARGE_CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;
const HEADER_LINES = "A: b\r\n".repeat(10_000);

function chunkedHead(target: string): string {
  return `${target} HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n`;
}

/** Requests without the usual headers, sent ahead. */
export function requestsAhead(target: string): CrowdBehaviour {
  return {
    name: `requests ahead: ${target}`,
    block: `${target} HTTP/1.1\r\n${HOST}\r\n`.repeat(1_000),
  };
}

/** Bodies that stop short of their end, in chunks of a byte. */
export function smallChunks(target: string, chunks: number): CrowdBehaviour {
  return {
    name: `bodies in chunks of a byte: ${target}`,
    start: chunkedHead(target),
    block: ONE_BYTE_CHUNKS,
    maxBytes: chunks * "1\r\nx\r\n".length,
  };
}

/** Bodies that stop short of their end, in chunks of 64 KiB. */
export function largeChunks(target: string, chunks: number): CrowdBehaviour {
  return {
    name: `bodies in large chunks: ${target}`,
    start: chunkedHead(target),
    block: LARGE_CHUNK,
    maxBytes: chunks * LARGE_CHUNK.length,
  };
}

/** What clients do who say little, or nothing that ends. */
export function quiet(target: string): readonly CrowdBehaviour[] {
  const connections = QUIET_CONNECTIONS;
  return [
    { name: "connections that say nothing", connections },
    {
      name: "heads that come slowly",
      connections,
      start: `${target} HTTP/1.1\r\n${HOST}`,
      block: "A: b\r\n",
      pauseMs: 200,
    },
    {
      name: "bodies that wait to be asked for",
      connections,
      start: `${target} HTTP/1.1\r\n${HOST}Expect: 100-continue\r\n` +
        "Content-Length: 1000\r\n\r\n",
    },
    {
      name: "half-closed connections in the middle of a body",
      connections,
      start: `${chunkedHead(target)}5\r\nabcde\r\n`,
      isHalfClosed: true,
    },
    {
      name: "heads without end",
      start: `${target} HTTP/1.1\r\n${HOST}`,
      block: HEADER_LINES,
    },
    {
      name: "trailers without end",
      start: `${chunkedHead(target)}0\r\n`,
      block: HEADER_LINES,
    },
  ];
}

/** What became of a process before a crowd. */
export interface CrowdedProcess {
  /** Most memory that it had, in kibibytes. */
  readonly peakMemoryKib: number;
  /** Open descriptors while the crowd is there. */
  readonly descriptors: number;
  /** Status of an ordinary request while the crowd is there; 0 if none. */
  readonly status: number;
}

/**
 * Lets a crowd press a process, and then sends an ordinary request while the
 * connections of the crowd are still open.
 *
 * @param address `IP:PORT` of the listener that is pressed
 * @param sendOrdinary sends the request until it is answered; rejects in vain
 *
 * @example
 * ```ts
 * const { status } = await press(behaviour, address, pid, () => callUntilOk());
 * ```
 */
export async function press(
  behaviour: CrowdBehaviour,
  address: string,
  pid: number | undefined,
  sendOrdinary: () => Promise<number>,
): Promise<CrowdedProcess> {
  // From now on, the peak is that of the crowd.
  await fs.writeFile(`/proc/${pid}/clear_refs`, "5");
  const stop = new AbortController();
  const sockets = Array.from(
    { length: behaviour.connections ?? CONNECTIONS },
    () => join(address, behaviour, stop.signal),
  );
  try {
    await timers.setTimeout(PRESS_MS);
    const descriptors = await countDescriptors(pid);
    const status = descriptors === 0 ? 0 : await sendOrdinary().catch(() => 0);
    return { descriptors, status, peakMemoryKib: await readPeakMemory(pid) };
  } finally {
    stop.abort();
    for (const socket of sockets) socket.destroy();
  }
}

/** Opens a connection of a crowd, which never reads. */
function join(
  address: string,
  behaviour: CrowdBehaviour,
  signal: AbortSignal,
): net.Socket {
  const { block, isHalfClosed, maxBytes = Infinity, pauseMs, start } =
    behaviour;
  const separator = address.lastIndexOf(":");
  const socket = net.connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  });
  socket.pause();
  socket.on("error", () => {});
  if (start !== undefined) socket.write(start);
  if (isHalfClosed) socket.end();
  if (block === undefined) return socket;
  const bytes = Buffer.from(block);
  const send = async () => {
    let sent = 0;
    while (!signal.aborted && !socket.destroyed && sent < maxBytes) {
      sent += bytes.length;
      if (!socket.write(bytes)) await drained(socket);
      if (pauseMs !== undefined) await timers.setTimeout(pauseMs);
    }
  };
  void send();
  return socket;
}

function drained(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      socket.off("drain", finish);
      socket.off("close", finish);
      resolve();
    };
    socket.on("drain", finish);
    socket.on("close", finish);
  });
}

/** Returns 0 for a process that has ended. */
async function countDescriptors(pid: number | undefined): Promise<number> {
  const files = await fs.readdir(`/proc/${pid}/fd`).catch(() => []);
  return files.length;
}

async function readPeakMemory(pid: number | undefined): Promise<number> {
  const status = await fs.readFile(`/proc/${pid}/status`, "utf8")
    .catch(() => "");
  return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? 0);
}
