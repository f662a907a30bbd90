import * as fs from "node:fs/promises";

/** Permission bits that let group or others at a file. */
const OTHERS_MODE = 0o077;

/**
 * Tells why a file is not kept for its owner alone; nothing if it is, or if it
 * can't be examined.
 *
 * @example
 * ```ts
 * await findOpenMode("host.key"); // "host.key is open to group or others"
 * ```
 */
export async function findOpenMode(name: string): Promise<string | undefined> {
  const mode = await fs.stat(name).then(
    (stats) => stats.mode,
    () => 0,
  );
  return describeMode(name, mode);
}

/** The same for a mode that is known already. */
export function describeMode(name: string, mode: number): string | undefined {
  const isOpen = (mode & OTHERS_MODE) !== 0;
  return isOpen ? `${name} is open to group or others` : undefined;
}
