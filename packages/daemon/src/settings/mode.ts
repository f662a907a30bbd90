import * as fs from "node:fs/promises";

/** Permission bits that give the group or others access to a file. */
const GROUP_AND_OTHERS_BITS = 0o077;

/**
 * Describes the fault if the group or others have access to a file. Returns
 * `undefined` if only the owner has access, or if the file can't be examined.
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

/** Like {@link findOpenMode}, for a mode that the caller has already read. */
export function describeMode(name: string, mode: number): string | undefined {
  const isOpen = (mode & GROUP_AND_OTHERS_BITS) !== 0;
  return isOpen ? `${name} is open to group or others` : undefined;
}
