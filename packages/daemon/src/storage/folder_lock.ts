/**
 * Keeps a second process off a data folder.
 *
 * @module
 */
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as path from "node:path";
import process from "node:process";
import { FolderInUse, StorageError } from "./errors.ts";
import { LocalFileSystem } from "./file_disk.ts";

/** Tells who holds the folder; it is no part of the lock itself. */
const HOLDER_FILE = "holder";

/** A data folder that belongs to this process until it is disposed of. */
export interface FolderLock extends AsyncDisposable {
  readonly folder: string;
}

/**
 * Takes a data folder for this process, and makes it when there is none.
 *
 * The lock is the name of a socket, made of the folder's device and inode: the
 * kernel gives a name to one process alone, whatever path that one came by, and
 * frees it with the process. So no lock is left behind by a killed one, and
 * there is no moment between a look at the lock and its taking. Other systems
 * than Linux have no such names; there the folder is not locked.
 *
 * @throws {FolderInUse} another process holds the folder
 * @throws {StorageError} the folder can't be made or locked
 * @example
 * ```ts
 * await using lock = await lockFolder("/var/lib/ebonypath");
 * await using store = await openStore(lock.folder, { name: "c1" });
 * ```
 */
export async function lockFolder(folder: string): Promise<FolderLock> {
  try {
    await new LocalFileSystem().createFolder(folder);
    if (process.platform !== "linux") return new UnlockedFolder(folder);
    const server = net.createServer((socket) => socket.destroy());
    server.listen({ path: await nameOf(folder) });
    await once(server, "listening");
    server.unref();
    await fs.writeFile(path.join(folder, HOLDER_FILE), `${process.pid}\n`);
    return new LockedFolder(folder, server);
  } catch (cause) {
    const { code, message } = cause as NodeJS.ErrnoException;
    if (code !== "EADDRINUSE") {
      throw new StorageError("lock", folder, message, cause);
    }
    throw new FolderInUse(folder, await readHolder(folder));
  }
}

class LockedFolder implements FolderLock {
  readonly folder: string;
  readonly #server: net.Server;

  constructor(folder: string, server: net.Server) {
    this.folder = folder;
    this.#server = server;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    await closed;
  }
}

class UnlockedFolder implements FolderLock {
  readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
  }

  async [Symbol.asyncDispose](): Promise<void> {}
}

/** A name in the abstract namespace; it stands in no directory. */
async function nameOf(folder: string): Promise<string> {
  const { dev, ino } = await fs.stat(folder, { bigint: true });
  return `\0ebonypath/folder/${dev}/${ino}`;
}

/** The process that says it holds the folder, while that one lives. */
async function readHolder(folder: string): Promise<number | null> {
  const file = path.join(folder, HOLDER_FILE);
  const text = await fs.readFile(file, "utf8").catch(() => "");
  const pid = Number(text);
  return pid > 0 && isAlive(pid) ? pid : null;
}

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === "EPERM";
  }
}
