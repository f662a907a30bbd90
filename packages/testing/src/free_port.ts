/**
 * Ports for processes that must know their address before they start.
 *
 * @module
 */
import * as net from "node:net";
import { once } from "node:events";

/**
 * Reserves distinct free ports on 127.0.0.1 for a moment and returns them.
 *
 * @example
 * ```ts
 * const [first, second] = await freePorts(2);
 * ```
 */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  try {
    await Promise.all(servers.map(listen));
    return servers.map((server) => (server.address() as net.AddressInfo).port);
  } finally {
    await Promise.all(servers.map(close));
  }
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

async function listen(server: net.Server): Promise<void> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
}

async function close(server: net.Server): Promise<void> {
  if (!server.listening) return;
  server.close();
  await once(server, "close");
}
