import * as fs from "node:fs/promises";

/** All TCP sockets of the machine, one a line. */
const TABLE = "/proc/net/tcp";
/** Column of a line that holds the inode of the socket. */
const INODE_COLUMN = 9;
const PORT_DIGITS = 4;
const HEXADECIMAL = 16;

/** A read of the table that has not begun yet. */
let nextRead: Promise<string> | undefined;
/** The reads that have begun, one after the other. */
let lastRead: Promise<unknown> = Promise.resolve();

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
  const inode = findInode(await readTable(), clientPort, serverPort);
  if (inode === undefined) return undefined;
  for (const pid of pids) {
    if (await holdsSocket(pid, inode)) return pid;
  }
  return undefined;
}

/**
 * Reads the table once for all who ask before the read begins: on a busy
 * machine it has thousands of lines, and many connections open at once.
 */
function readTable(): Promise<string> {
  nextRead ??= lastRead.then(() => {
    nextRead = undefined;
    const read = fs.readFile(TABLE, "latin1");
    lastRead = read.catch(() => undefined);
    return read;
  });
  return nextRead;
}

/**
 * Finds the inode of a connection's client end in the table of sockets.
 *
 * @example
 * ```ts
 * findInode(table, 40_001, 7_001); // "8412"
 * ```
 */
export function findInode(
  table: string,
  clientPort: number,
  serverPort: number,
): string | undefined {
  const ends = new RegExp(
    `^ *\\d+: [0-9A-F]+:${hex(clientPort)} [0-9A-F]+:${hex(serverPort)} .*`,
    "m",
  );
  const line = ends.exec(table)?.[0];
  return line?.trim().split(/\s+/)[INODE_COLUMN];
}

function hex(port: number): string {
  return port.toString(HEXADECIMAL).toUpperCase().padStart(PORT_DIGITS, "0");
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
