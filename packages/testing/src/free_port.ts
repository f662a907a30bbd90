/**
 * Ports for processes that must know their address before they start.
 *
 * @module
 */
import { once } from "node:events";
import * as net from "node:net";
import process from "node:process";

/**
 * Ports are taken below the range from which the system serves outgoing
 * connections, so that a port stays free until its process listens on it.
 */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
/** Ports of one block; the first one guards the others. */
const BLOCK_PORTS = 100;
const BLOCKS = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);

/** Ports of the guarded block that were not handed out yet. */
let left: number[] = [];
/** Guards of the blocks of this process, held until it ends. */
const guards: net.Server[] = [];

/**
 * Finds distinct free ports on 127.0.0.1.
 *
 * @example
 * ```ts
 * const [first, second] = await freePorts(2);
 * ```
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (left.length === 0) left = await claimBlock();
    const port = left.shift() as number;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Returns one free port on 127.0.0.1.
 *
 * @example
 * ```ts
 * const port = await freePort();
 * ```
 */
export async function freePort(): Promise<number> {
  const [port] = await freePorts(1);
  return port as number;
}

/**
 * Takes a block of ports for this process alone. A port that is only tried is
 * free again until its process listens on it, and another process that tries
 * the same port meanwhile takes it as well.
 */
async function claimBlock(): Promise<number[]> {
  for (let tried = 0; tried < BLOCKS; tried += 1) {
    const first = FIRST_PORT + (process.pid + tried) % BLOCKS * BLOCK_PORTS;
    const guard = await listenOn(first);
    if (guard === undefined) continue;
    guard.unref();
    guards.push(guard);
    return Array.from(
      { length: BLOCK_PORTS - 1 },
      (_, index) => first + 1 + index,
    );
  }
  throw new Error("all blocks of ports are taken");
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenOn(port);
  if (server === undefined) return false;
  server.close();
  await once(server, "close");
  return true;
}

async function listenOn(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  try {
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    return server;
  } catch {
    return undefined;
  }
}
