import * as fs from "node:fs/promises";
import type * as protocol from "@ebonypath/protocol";
import * as modes from "./mode.ts";

/** Minimum length of a secret, in characters. */
const MIN_SECRET_LENGTH = 16;
/** Maximum size of a secret file, in bytes. */
const MAX_SECRET_FILE_BYTES = 4_096;

/** A secret, or the finding that explains why it can't be used. */
export type Secret =
  | { readonly kind: "value"; readonly value: string }
  | { readonly kind: "finding"; readonly finding: protocol.toml.Finding };

/**
 * Reads a secret from a file, which only its owner may have access to.
 *
 * @example
 * ```ts
 * const secret = await readSecret("/etc/ebonypath/fleet.secret", "host.toml", "secrets.fleet_file");
 * ```
 */
export async function readSecret(
  name: string,
  settingsFile: string,
  path: string,
): Promise<Secret> {
  const reject = (reason: string, hint: string): Secret => ({
    kind: "finding",
    finding: { file: settingsFile, path, reason, hint },
  });
  try {
    await using file = await fs.open(name, "r");
    const { mode, size } = await file.stat();
    const openMode = modes.describeMode(name, mode);
    if (openMode !== undefined) return reject(openMode, `chmod 600 ${name}`);
    if (size > MAX_SECRET_FILE_BYTES) {
      return reject(`${name} is too long`, "put one line with a token there");
    }
    const value = (await file.readFile("utf8")).trim();
    if (value.length < MIN_SECRET_LENGTH || /\s/.test(value)) {
      return reject(
        `${name} holds no usable secret`,
        `write one line of at least ${MIN_SECRET_LENGTH} characters, for instance from openssl rand -hex 32`,
      );
    }
    return { kind: "value", value };
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    return reject(`${name} can't be read: ${code}`, "create the file");
  }
}
