import { expect } from "chai";
import { gateway } from "../../src/mod.ts";

/** Adds the events of several servers; returns how each server's first follows. */
function addParts(
  parts: readonly (readonly string[])[],
  lastId?: string,
): gateway.EventOrder[] {
  const sequence = new gateway.EventSequence(lastId);
  return parts.map(([first = "", ...others]) => {
    sequence.begin();
    const order = sequence.add(first);
    for (const id of others) sequence.add(id);
    return order;
  });
}

describe("event sequence", () => {
  type Case = [parts: string[][], order: gateway.EventOrder, lastId?: string];
  const cases: Case[] = [
    [[["1", "2", "3"], ["4"]], "in-order"],
    [[["3", "6", "9"], ["12"]], "in-order"],
    [[["3", "6", "9"], ["10"]], "in-order"],
    [[["1", "2", "3"], ["3"]], "repeated"],
    [[["1", "2", "3"], ["1"]], "repeated"],
    [[["1", "2", "3"], ["0"]], "repeated"],
    [[["9", "10"], ["9"]], "repeated"],
    [[["1", "2", "3"], ["5"]], "skipped"],
    [[["3", "6", "9"], ["15"]], "skipped"],
    [[["1", "2", "4"], ["9"]], "in-order"],
    [[["1"], ["9"]], "in-order"],
    [[["a", "b"], ["b"]], "repeated"],
    [[["a", "b"], ["a"]], "in-order"],
    [[["99999999999999999998"], ["99999999999999999999"]], "in-order"],
    [[["3"]], "repeated", "3"],
    [[["2"]], "repeated", "3"],
    [[["4"]], "in-order", "3"],
  ];
  for (const [parts, order, lastId] of cases) {
    const name = parts.map((part) => part.join(" ")).join(", then ");
    it(`is ${order} for ${name} after ${lastId ?? "none"}`, () => {
      expect(addParts(parts, lastId).at(-1)).to.equal(order);
    });
  }

  it("keeps the last id when an event does not follow on", () => {
    const sequence = new gateway.EventSequence("7");
    sequence.begin();
    sequence.add("1");
    expect(sequence.lastId).to.equal("7");
  });
});
