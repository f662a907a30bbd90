import * as fs from "node:fs/promises";

/** Columns of `/proc/net/tcp`. */
const LOCAL_COLUMN = 1;
const REMOTE_COLUMN = 2;
const INODE_COLUMN = 9;

/**
 * Finds out which of some processes holds the client end of a connection.
 *
 * @example
 * ```ts
 * const pid = await findSocketOwner(clientPort, serverPort, [4711, 4712]);
 * ```
 */
export async function findSocketOwner(
  clientPort: number,
  serverPort: number,
  pids: readonly number[],
): Promise<number | undefined> {
  const inode = await findInode(clientPort, serverPort);
  if (inode === undefined) return undefined;
  for (const pid of pids) {
    if (await holdsSocket(pid, inode)) return pid;
  }
  return undefined;
}

async function findInode(
  clientPort: number,
  serverPort: number,
): Promise<string | undefined> {
  const table = await fs.readFile("/proc/net/tcp", "utf8");
  for (const line of table.split("\n").slice(1)) {
    const columns = line.trim().split(/\s+/);
    const isMatch = portOf(columns[LOCAL_COLUMN]) === clientPort &&
      portOf(columns[REMOTE_COLUMN]) === serverPort;
    if (isMatch) return columns[INODE_COLUMN];
  }
  return undefined;
}

function portOf(address: string | undefined): number {
  return Number.parseInt(address?.split(":")[1] ?? "", 16);
}

async function holdsSocket(pid: number, inode: string): Promise<boolean> {
  const folder = `/proc/${pid}/fd`;
  const descriptors = await fs.readdir(folder).catch(() => []);
  for (const descriptor of descriptors) {
    const target = await fs.readlink(`${folder}/${descriptor}`)
      .catch(() => undefined);
    if (target === `socket:[${inode}]`) return true;
  }
  return false;
}
