import { expect } from "chai";
import { Buffer } from "node:buffer";
import * as backend from "../../src/backend/mod.ts";

async function* chunks(parts: readonly string[]) {
  for (const part of parts) yield await Promise.resolve(Buffer.from(part));
}

async function read(parts: readonly string[]): Promise<string[]> {
  const seen: string[] = [];
  try {
    for await (const event of backend.readEvents(chunks(parts))) {
      seen.push(event.kind === "done" ? "DONE" : event.data);
    }
  } catch (error) {
    seen.push((error as Error).name);
  }
  return seen;
}

const CASES = [
  {
    title: "whole events",
    parts: ["data: a\n\ndata: b\n\n", "data: [DONE]\n\n"],
    seen: ["a", "b", "DONE"],
  },
  {
    title: "events in pieces",
    parts: ["da", "ta: a\n", "\ndata: [DO", "NE]\n\n"],
    seen: ["a", "DONE"],
  },
  {
    title: "carriage returns and comments",
    parts: [": ping\r\n\r\ndata:a\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n"],
    seen: ["", "a\nb", "DONE"],
  },
  {
    title: "nothing after the terminal event",
    parts: ["data: [DONE]\n\n", "data: late\n\n"],
    seen: ["DONE"],
  },
  {
    title: "an end before the terminal event",
    parts: ["data: a\n\n"],
    seen: ["a", "IncompleteStreamError"],
  },
  {
    title: "an end within the terminal event",
    parts: ["data: [DONE]"],
    seen: ["IncompleteStreamError"],
  },
  {
    title: "a giant event",
    parts: ["x".repeat(5 * 2 ** 20)],
    seen: ["IncompleteStreamError"],
  },
  { title: "nothing", parts: [], seen: ["IncompleteStreamError"] },
];

describe("event stream", () => {
  for (const { title, parts, seen } of CASES) {
    it(`reads ${title}`, async () => {
      expect(await read(parts)).to.deep.equal(seen);
    });
  }
});
