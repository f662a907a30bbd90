/**
 * The snapshot files of a store.
 *
 * A file starts with a frame that holds the metadata and the CRC-32 of the data;
 * the data follows the frame.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { Buffer as Bytes } from "node:buffer";
import * as zlib from "node:zlib";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import { DamageError } from "./errors.ts";
import type { StoreFolder } from "./folder.ts";
import * as frame from "./frame.ts";
import type { RecoveredSnapshot } from "./types.ts";

const NAME_PATTERN = /^snapshot-(\d+)\.bin$/;

const headerSchema = v.object({
  metadata: protocol.replication.snapshotMetadataSchema,
  checksum: v.number(),
});

type SnapshotMetadata = protocol.replication.SnapshotMetadata;
type CurrentSnapshot = { metadata: SnapshotMetadata; dataOffset: number };

/** The snapshot files in one store folder. Only the latest one is kept. */
export class SnapshotFiles {
  #folder: StoreFolder;
  #current: CurrentSnapshot | null = null;

  constructor(folder: StoreFolder) {
    this.#folder = folder;
  }

  /** Index of the current snapshot; 0 when there is none. */
  get index(): number {
    return this.#current?.metadata.index ?? 0;
  }

  /** Reads and validates the latest snapshot; null when there is none. */
  async recover(): Promise<RecoveredSnapshot | null> {
    const index = Math.max(0, ...await this.#listIndexes());
    if (index === 0) {
      return null;
    }
    const name = snapshotFileName(index);
    const file = await this.#folder.read(name);
    if (file === null) {
      throw new DamageError(
        this.#folder.pathOf(name),
        0,
        "the snapshot file is missing",
      );
    }
    const { metadata, checksum, dataOffset } = this.#readHeader(name, file);
    const data = file.subarray(dataOffset);
    const isValid = data.length === metadata.bytes &&
      zlib.crc32(data) === checksum;
    if (!isValid) {
      const path = this.#folder.pathOf(name);
      throw new DamageError(
        path,
        dataOffset,
        "length or checksum mismatch in the snapshot data",
      );
    }
    this.#current = { metadata, dataOffset };
    return { metadata, data };
  }

  /** Writes a snapshot; {@link SnapshotFiles.activate} makes it current. */
  async write(metadata: SnapshotMetadata, data: Uint8Array): Promise<void> {
    const header = encodeHeader(metadata, data);
    await this.#folder.writeAtomically(snapshotFileName(metadata.index), [
      header,
      data,
    ]);
  }

  /** Makes a written snapshot the current one and removes older files. */
  async activate(metadata: SnapshotMetadata, data: Uint8Array): Promise<void> {
    const dataOffset = encodeHeader(metadata, data).length;
    this.#current = { metadata, dataOffset };
    for (const index of await this.#listIndexes()) {
      if (index < metadata.index) {
        await this.#folder.remove(snapshotFileName(index));
      }
    }
  }

  /**
   * Reads a part of the data of the current snapshot; null when the current
   * snapshot is not the one at `index`.
   */
  async read(
    index: number,
    offset: number,
    length: number,
  ): Promise<Buffer | null> {
    if (this.#current === null || this.index !== index) {
      return null;
    }
    const start = this.#current.dataOffset + offset;
    return await this.#folder.readPart(snapshotFileName(index), start, length);
  }

  async #listIndexes(): Promise<number[]> {
    const names = await this.#folder.list();
    return names.flatMap((name) => {
      const match = NAME_PATTERN.exec(name);
      return match === null ? [] : [Number(match[1])];
    });
  }

  #readHeader(name: string, file: Buffer) {
    const path = this.#folder.pathOf(name);
    const result = frame.readFrame(file, 0);
    if (result.kind !== "frame") {
      throw new DamageError(path, 0, "invalid frame in the snapshot header");
    }
    const json = JSON.parse(result.content.toString("utf8"));
    const header = v.safeParse(headerSchema, json);
    if (!header.success) {
      throw new DamageError(
        path,
        0,
        "the snapshot header does not match its schema",
      );
    }
    return { ...header.output, dataOffset: result.end };
  }
}

function encodeHeader(metadata: SnapshotMetadata, data: Uint8Array): Buffer {
  const header = { metadata, checksum: zlib.crc32(data) };
  return frame.encodeFrame(Bytes.from(JSON.stringify(header)));
}

function snapshotFileName(index: number): string {
  return `snapshot-${index}.bin`;
}
