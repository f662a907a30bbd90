/**
 * Durable store of one replica: write-ahead log, snapshots and identity.
 *
 * @module
 */

export * from "./errors.ts";
export { LocalFileSystem as FileDisk } from "./local_file_system.ts";
export { type FolderLock, lockFolder } from "./folder_lock.ts";
export type { SpaceListener } from "./space_waiter.ts";
export { openStore } from "./store.ts";
export * from "./types.ts";
