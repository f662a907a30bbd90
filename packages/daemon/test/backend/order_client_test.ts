import type { backend as protocol } from "@ebonypath/protocol";
import { fakeBackend } from "@ebonypath/testing";
import { expect } from "chai";
import * as backend from "../../src/backend/mod.ts";
import * as rawServer from "./raw_server.ts";

function load(fields: object = {}): protocol.Order {
  return {
    kind: "load",
    fence: 1,
    incarnation: "i1",
    timeoutMs: 100,
    model: "advice/last",
    version: "1",
    bytes: 1,
    ...fields,
  };
}

async function send(
  address: string,
  order = load(),
  signal = new AbortController().signal,
): Promise<backend.OrderOutcome> {
  return await backend.sendOrder({ id: "r1", address }, order, signal);
}

function http(body: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

describe("order client", () => {
  const faults: Array<{
    title: string;
    faults: Partial<fakeBackend.Faults>;
    order?: protocol.Order;
    outcome: object;
  }> = [
    { title: "an executed order", faults: {}, outcome: { kind: "done" } },
    {
      title: "a refused order",
      faults: { refusesOrders: "no-memory" },
      outcome: { kind: "refused", reason: "no-memory" },
    },
    {
      title: "an order for another incarnation",
      faults: {},
      order: load({ incarnation: "i0" }),
      outcome: { kind: "refused", reason: "wrong-incarnation" },
    },
    {
      title: "a lost answer",
      faults: { lostOrderAnswers: true },
      outcome: { kind: "unknown" },
    },
    {
      title: "a crash in the middle of a load",
      faults: { crashOnLoad: "advice/last" },
      outcome: { kind: "unknown" },
    },
  ];
  for (const { title, faults: switches, order, outcome } of faults) {
    it(`reports ${title}`, async () => {
      await using fake = await fakeBackend.startFakeBackend({
        id: "r1",
        incarnation: "i1",
        loadTimes: { storeMs: 1 },
        faults: switches,
      });
      expect(await send(fake.address, order)).to.include(outcome);
    });
  }

  it("knows that a refused connection took no order", async () => {
    const fake = await fakeBackend.startFakeBackend({ id: "r1" });
    await fake.crash();
    expect(await send(fake.address)).to.include({
      kind: "refused",
      reason: "not-sent",
    });
  });

  const answers = [
    { title: "malformed JSON", answer: http("{") },
    { title: "another shape", answer: http('{"kind":"maybe"}') },
    { title: "an error status", answer: http('{"kind":"done"}', "500 X") },
    { title: "garbage", answer: "garbage" },
    { title: "a cut body", answer: http("{}").slice(0, -1) },
    { title: "no answer", answer: "" },
    { title: "a giant body", answer: http(" ".repeat(2 ** 17)) },
  ];
  for (const { title, answer } of answers) {
    it(`counts ${title} as unknown`, async () => {
      await using raw = await new rawServer.RawServer(answer).start();
      const outcome = await send(raw.address, load({ timeoutMs: 1 }));
      expect(outcome.kind).to.equal("unknown");
    });
  }

  it("counts an order that was given up as unknown", async () => {
    await using raw = await new rawServer.RawServer("").start();
    const signal = AbortSignal.timeout(50);
    expect((await send(raw.address, load(), signal)).kind).to.equal("unknown");
  });
});
