/**
 * The snapshot files of a store.
 *
 * A file holds a frame with the metadata and the checksum of the data, and then
 * the data.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { Buffer as Bytes } from "node:buffer";
import * as zlib from "node:zlib";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import { DamageError } from "./errors.ts";
import type { Folder } from "./folder.ts";
import * as frame from "./frame.ts";
import type { RecoveredSnapshot } from "./types.ts";

const NAME_PATTERN = /^snapshot-(\d+)\.bin$/;

const headerSchema = v.object({
  metadata: protocol.replication.snapshotMetadataSchema,
  checksum: v.number(),
});

type Metadata = protocol.replication.SnapshotMetadata;
type Present = { metadata: Metadata; dataOffset: number };

/** The snapshots in one folder. Only the latest one is kept. */
export class Snapshots {
  #folder: Folder;
  #present: Present | null = null;

  constructor(folder: Folder) {
    this.#folder = folder;
  }

  /** Index of the present snapshot; 0 when there is none. */
  get index(): number {
    return this.#present?.metadata.index ?? 0;
  }

  /** Reads the latest snapshot. */
  async recover(): Promise<RecoveredSnapshot | null> {
    const index = Math.max(0, ...await this.#indexes());
    if (index === 0) {
      return null;
    }
    const name = nameOf(index);
    const file = await this.#folder.read(name);
    if (file === null) {
      throw new DamageError(this.#folder.pathOf(name), 0, "it is missing");
    }
    const { metadata, checksum, dataOffset } = this.#readHeader(name, file);
    const data = file.subarray(dataOffset);
    const isWhole = data.length === metadata.bytes &&
      zlib.crc32(data) === checksum;
    if (!isWhole) {
      const path = this.#folder.pathOf(name);
      throw new DamageError(path, dataOffset, "the data has a wrong checksum");
    }
    this.#present = { metadata, dataOffset };
    return { metadata, data };
  }

  /** Writes a snapshot; {@link Snapshots.use} makes it the present one. */
  async write(metadata: Metadata, data: Uint8Array): Promise<void> {
    const header = encodeHeader(metadata, data);
    await this.#folder.writeWhole(nameOf(metadata.index), [header, data]);
  }

  /** Makes a written snapshot the present one and removes the others. */
  async use(metadata: Metadata, data: Uint8Array): Promise<void> {
    const dataOffset = encodeHeader(metadata, data).length;
    this.#present = { metadata, dataOffset };
    for (const index of await this.#indexes()) {
      if (index < metadata.index) {
        await this.#folder.remove(nameOf(index));
      }
    }
  }

  /** A part of the data of the present snapshot; null when it's another. */
  async read(
    index: number,
    offset: number,
    length: number,
  ): Promise<Buffer | null> {
    if (this.#present === null || this.index !== index) {
      return null;
    }
    const start = this.#present.dataOffset + offset;
    return await this.#folder.readPart(nameOf(index), start, length);
  }

  async #indexes(): Promise<number[]> {
    const names = await this.#folder.list();
    return names.flatMap((name) => {
      const match = NAME_PATTERN.exec(name);
      return match === null ? [] : [Number(match[1])];
    });
  }

  #readHeader(name: string, file: Buffer) {
    const path = this.#folder.pathOf(name);
    const read = frame.readFrame(file, 0);
    if (read.kind !== "frame") {
      throw new DamageError(path, 0, "the header is damaged");
    }
    const content = JSON.parse(read.content.toString("utf8"));
    const header = v.safeParse(headerSchema, content);
    if (!header.success) {
      throw new DamageError(path, 0, "the header is not known");
    }
    return { ...header.output, dataOffset: read.end };
  }
}

function encodeHeader(metadata: Metadata, data: Uint8Array): Buffer {
  const header = { metadata, checksum: zlib.crc32(data) };
  return frame.encodeFrame(Bytes.from(JSON.stringify(header)));
}

function nameOf(index: number): string {
  return `snapshot-${index}.bin`;
}
