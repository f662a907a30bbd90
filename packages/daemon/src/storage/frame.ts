/**
 * Frames of the files of a store.
 *
 * A frame is a header of three little-endian numbers of 32 bits (length of the
 * content, checksum of the content, checksum of these two) and the content. All
 * that is synced together is one frame, so that a write which was cut short can
 * only damage the last frame of a file.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as zlib from "node:zlib";

/** Bytes in front of the content of a frame. */
export const HEADER_BYTES = 12;

const NUMBER_BYTES = 4;
const CHECKED_HEADER_BYTES = 2 * NUMBER_BYTES;

/** What was found at a place in a file. */
export type ReadFrame =
  | { kind: "frame"; content: Buffer; end: number }
  | { kind: "end" }
  | { kind: "incomplete" }
  | { kind: "damaged"; reason: string };

/** Makes a frame of some content. */
export function encodeFrame(content: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(content.length, 0);
  header.writeUInt32LE(zlib.crc32(content), NUMBER_BYTES);
  const checked = header.subarray(0, CHECKED_HEADER_BYTES);
  header.writeUInt32LE(zlib.crc32(checked), CHECKED_HEADER_BYTES);
  return Buffer.concat([header, content]);
}

/** Reads the frame at an offset. */
export function readFrame(data: Buffer, offset: number): ReadFrame {
  if (offset === data.length) {
    return { kind: "end" };
  }
  const start = offset + HEADER_BYTES;
  if (start > data.length) {
    return { kind: "incomplete" };
  }
  if (!hasValidHeader(data, offset)) {
    return { kind: "damaged", reason: "the header has a wrong checksum" };
  }
  const end = start + data.readUInt32LE(offset);
  if (end > data.length) {
    return { kind: "incomplete" };
  }
  const content = data.subarray(start, end);
  if (zlib.crc32(content) !== data.readUInt32LE(offset + NUMBER_BYTES)) {
    return { kind: "damaged", reason: "the content has a wrong checksum" };
  }
  return { kind: "frame", content, end };
}

/** Whether a whole frame begins anywhere after an offset. */
export function hasLaterFrame(data: Buffer, offset: number): boolean {
  const last = data.length - HEADER_BYTES;
  for (let place = offset + 1; place <= last; place += 1) {
    const isFrame = hasValidHeader(data, place) &&
      readFrame(data, place).kind === "frame";
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
