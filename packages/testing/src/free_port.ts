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
/** Ports between the starting points of two processes. */
const STRIDE = 100;

let next = FIRST_PORT +
  (process.pid * STRIDE) % (LAST_PORT - FIRST_PORT);

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
    const port = next;
    next = next === LAST_PORT ? FIRST_PORT : next + 1;
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

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  try {
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
