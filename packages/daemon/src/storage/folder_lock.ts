/**
 * Exclusive lock of a data folder between processes.
 *
 * @module
 */
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as path from "node:path";
import process from "node:process";
import { createLog } from "../log/mod.ts";
import { FolderInUse, StorageError } from "./errors.ts";
import { LocalFileSystem } from "./local_file_system.ts";

/** Holds the process id of the lock holder, for error messages only. */
const HOLDER_FILE = "holder";

const log = createLog("storage");

/** A data folder that this process holds until the lock is disposed of. */
export interface FolderLock extends AsyncDisposable {
  readonly folder: string;
}

/**
 * Locks a data folder for this process; creates the folder when it does not
 * exist.
 *
 * The lock is a Unix domain socket in Linux's abstract namespace, named after
 * the device and inode of the folder. The kernel binds a name to one process
 * only, regardless of the path by which the process opened the folder, and
 * releases it when the process ends. A killed process therefore leaves no stale
 * lock, and there is no race between checking and taking the lock. Other
 * operating systems have no abstract socket names; there the folder is not
 * locked.
 *
 * @throws {FolderInUse} another process holds the folder
 * @throws {StorageError} the folder can't be created or locked
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
    server.listen({ path: await socketName(folder) });
    await once(server, "listening");
    server.unref();
    await writeHolderPid(folder);
    return new LockedFolder(folder, server);
  } catch (cause) {
    const { code, message } = cause as NodeJS.ErrnoException;
    if (code !== "EADDRINUSE") {
      throw new StorageError("lock", folder, message, cause);
    }
    throw new FolderInUse(folder, await readHolderPid(folder));
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

/** The leading NUL byte puts the name into the abstract namespace. */
async function socketName(folder: string): Promise<string> {
  const { dev, ino } = await fs.stat(folder, { bigint: true });
  return `\0ebonypath/folder/${dev}/${ino}`;
}

/** Names this process in the holder file, for which a disk may be too full. */
async function writeHolderPid(folder: string): Promise<void> {
  const file = path.join(folder, HOLDER_FILE);
  try {
    await fs.writeFile(file, `${process.pid}\n`);
  } catch (error) {
    log("holder-not-written", { file, error });
  }
}

/** Process id in the holder file; null unless that process is running. */
async function readHolderPid(folder: string): Promise<number | null> {
  const file = path.join(folder, HOLDER_FILE);
  const text = await fs.readFile(file, "utf8").catch(() => "");
  const pid = Number(text);
  return pid > 0 && isRunning(pid) ? pid : null;
}

function isRunning(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === "EPERM";
  }
}
