/**
 * The identity of a disk.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as crypto from "node:crypto";
import * as v from "valibot";
import { DamageError } from "./errors.ts";
import type { Folder } from "./folder.ts";
import * as frame from "./frame.ts";
import type { Identity } from "./types.ts";

const FILE_NAME = "identity.bin";
const SUFFIX_BYTES = 6;

const identitySchema = v.object({ id: v.pipe(v.string(), v.minLength(1)) });

/** Reads the identity of a disk; null when it has none. */
export async function readIdentity(folder: Folder): Promise<Identity | null> {
  const data = await folder.read(FILE_NAME);
  if (data === null) {
    return null;
  }
  const read = frame.readFrame(data, 0);
  if (read.kind !== "frame") {
    const path = folder.pathOf(FILE_NAME);
    throw new DamageError(path, 0, "the identity is damaged");
  }
  return v.parse(identitySchema, JSON.parse(read.content.toString("utf8")));
}

/** Gives a disk a new identity that no other disk ever had. */
export async function writeIdentity(
  folder: Folder,
  name: string,
): Promise<Identity> {
  const suffix = crypto.randomBytes(SUFFIX_BYTES).toString("hex");
  const identity = { id: `${name}-${suffix}` };
  const content = Buffer.from(JSON.stringify(identity));
  await folder.writeWhole(FILE_NAME, [frame.encodeFrame(content)]);
  return identity;
}
