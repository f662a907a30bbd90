/**
 * Checksummed frames, the record format of the files of a store.
 *
 * A frame is a header of three little-endian 32-bit integers (length of the
 * content, CRC-32 of the content, CRC-32 of the first two fields), followed by
 * the content. Data that is synced together is written as one frame, so that a
 * torn write can only damage the lastOffset frame of a file.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as zlib from "node:zlib";

/** Size of the frame header in bytes. */
export const HEADER_BYTES = 12;

const UINT32_BYTES = 4;
const CHECKED_HEADER_BYTES = 2 * UINT32_BYTES;

/** Result of reading a frame at an offset. */
export type FrameResult =
  | { kind: "frame"; content: Buffer; end: number }
  | { kind: "end" }
  | { kind: "incomplete" }
  | { kind: "damaged"; reason: string };

/** Encodes content as a frame. */
export function encodeFrame(content: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(content.length, 0);
  header.writeUInt32LE(zlib.crc32(content), UINT32_BYTES);
  const checkedHeader = header.subarray(0, CHECKED_HEADER_BYTES);
  header.writeUInt32LE(zlib.crc32(checkedHeader), CHECKED_HEADER_BYTES);
  return Buffer.concat([header, content]);
}

/** Reads the frame at an offset. */
export function readFrame(data: Buffer, offset: number): FrameResult {
  if (offset === data.length) {
    return { kind: "end" };
  }
  const contentStart = offset + HEADER_BYTES;
  if (contentStart > data.length) {
    return { kind: "incomplete" };
  }
  if (!hasValidHeader(data, offset)) {
    return { kind: "damaged", reason: "checksum mismatch in the frame header" };
  }
  const end = contentStart + data.readUInt32LE(offset);
  if (end > data.length) {
    return { kind: "incomplete" };
  }
  const content = data.subarray(contentStart, end);
  if (zlib.crc32(content) !== data.readUInt32LE(offset + UINT32_BYTES)) {
    return {
      kind: "damaged",
      reason: "checksum mismatch in the frame content",
    };
  }
  return { kind: "frame", content, end };
}

/** Whether a valid frame starts at any byte after an offset. */
export function hasFrameAfter(data: Buffer, offset: number): boolean {
  const lastOffset = data.length - HEADER_BYTES;
  for (let position = offset + 1; position <= lastOffset; position += 1) {
    const isFrame = hasValidHeader(data, position) &&
      readFrame(data, position).kind === "frame";
    if (isFrame) {
      return true;
    }
  }
  return false;
}

function hasValidHeader(data: Buffer, offset: number): boolean {
  const checkedEnd = offset + CHECKED_HEADER_BYTES;
  const checksum = zlib.crc32(data.subarray(offset, checkedEnd));
  return checksum === data.readUInt32LE(checkedEnd);
}
