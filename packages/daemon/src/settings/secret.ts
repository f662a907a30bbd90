import * as fs from "node:fs/promises";
import type * as protocol from "@ebonypath/protocol";
import * as modes from "./mode.ts";

/** Shortest secret accepted, in characters. */
const SECRET_LENGTH_MIN = 16;
/** Longest secret accepted, in characters. */
const SECRET_LENGTH_MAX = 4_096;

/** A secret, or the reason why it can't be used. */
export type Secret =
  | { readonly kind: "value"; readonly value: string }
  | { readonly kind: "finding"; readonly finding: protocol.toml.Finding };

/**
 * Reads a secret from a file that its owner alone may read.
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
  const refuse = (reason: string, hint: string): Secret => ({
    kind: "finding",
    finding: { file: settingsFile, path, reason, hint },
  });
  try {
    await using file = await fs.open(name, "r");
    const { mode, size } = await file.stat();
    const openMode = modes.describeMode(name, mode);
    if (openMode !== undefined) return refuse(openMode, `chmod 600 ${name}`);
    if (size > SECRET_LENGTH_MAX) {
      return refuse(`${name} is too long`, "put one line with a token there");
    }
    const value = (await file.readFile("utf8")).trim();
    if (value.length < SECRET_LENGTH_MIN || /\s/.test(value)) {
      return refuse(
        `${name} holds no usable secret`,
        `write one line of at least ${SECRET_LENGTH_MIN} characters, for instance from openssl rand -hex 32`,
      );
    }
    return { kind: "value", value };
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    return refuse(`${name} can't be read: ${code}`, "create the file");
  }
}
