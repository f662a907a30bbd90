/**
 * The persistent identity of a replica.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as crypto from "node:crypto";
import * as v from "valibot";
import { DamageError } from "./errors.ts";
import type { StoreFolder } from "./folder.ts";
import * as frame from "./frame.ts";
import type { Identity } from "./types.ts";

const FILE_NAME = "identity.bin";
const SUFFIX_BYTES = 6;

const identitySchema = v.object({ id: v.pipe(v.string(), v.minLength(1)) });

/** Reads the identity in a store folder; null when it has none. */
export async function readIdentity(
  folder: StoreFolder,
): Promise<Identity | null> {
  const data = await folder.read(FILE_NAME);
  if (data === null) {
    return null;
  }
  const result = frame.readFrame(data, 0);
  if (result.kind !== "frame") {
    const path = folder.pathOf(FILE_NAME);
    throw new DamageError(path, 0, "invalid frame in the identity file");
  }
  return v.parse(identitySchema, JSON.parse(result.content.toString("utf8")));
}

/** Writes a new identity with a random suffix, so that ids are never reused. */
export async function writeIdentity(
  folder: StoreFolder,
  name: string,
): Promise<Identity> {
  const suffix = crypto.randomBytes(SUFFIX_BYTES).toString("hex");
  const identity = { id: `${name}-${suffix}` };
  const content = Buffer.from(JSON.stringify(identity));
  await folder.writeAtomically(FILE_NAME, [frame.encodeFrame(content)]);
  return identity;
}
