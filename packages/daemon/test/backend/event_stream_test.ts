import { expect } from "chai";
import { Buffer } from "node:buffer";
import * as backend from "../../src/backend/mod.ts";

async function* createBody(chunks: readonly string[]) {
  for (const chunk of chunks) yield await Promise.resolve(Buffer.from(chunk));
}

async function readEventData(chunks: readonly string[]): Promise<string[]> {
  const results: string[] = [];
  try {
    for await (const event of backend.readEvents(createBody(chunks))) {
      results.push(event.kind === "done" ? "DONE" : event.data);
    }
  } catch (error) {
    results.push((error as Error).name);
  }
  return results;
}

const CASES = [
  {
    title: "complete events",
    chunks: ["data: a\n\ndata: b\n\n", "data: [DONE]\n\n"],
    expected: ["a", "b", "DONE"],
  },
  {
    title: "events split across chunks",
    chunks: ["da", "ta: a\n", "\ndata: [DO", "NE]\n\n"],
    expected: ["a", "DONE"],
  },
  {
    title: "CRLF line ends and comments",
    chunks: [": ping\r\n\r\ndata:a\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n"],
    expected: ["", "a\nb", "DONE"],
  },
  {
    title: "no event after the terminal event",
    chunks: ["data: [DONE]\n\n", "data: late\n\n"],
    expected: ["DONE"],
  },
  {
    title: "an end before the terminal event",
    chunks: ["data: a\n\n"],
    expected: ["a", "IncompleteStreamError"],
  },
  {
    title: "an end within the terminal event",
    chunks: ["data: [DONE]"],
    expected: ["IncompleteStreamError"],
  },
  {
    title: "an event that is too large",
    chunks: ["x".repeat(5 * 2 ** 20)],
    expected: ["IncompleteStreamError"],
  },
  { title: "an empty body", chunks: [], expected: ["IncompleteStreamError"] },
];

describe("event stream", () => {
  for (const { title, chunks, expected } of CASES) {
    it(`reads ${title}`, async () => {
      expect(await readEventData(chunks)).to.deep.equal(expected);
    });
  }
});
