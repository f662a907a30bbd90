import type { backend as protocol } from "@ebonypath/protocol";
import { fakeBackend } from "@ebonypath/testing";
import { expect } from "chai";
import * as backend from "../../src/backend/mod.ts";
import * as rawServer from "./raw_server.ts";

function createLoadOrder(fields: object = {}): protocol.Order {
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

async function sendOrder(
  address: string,
  order = createLoadOrder(),
  signal = new AbortController().signal,
): Promise<backend.OrderOutcome> {
  return await backend.sendOrder({ id: "r1", address }, order, signal);
}

function httpResponse(body: string, status = "200 OK"): string {
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
      order: createLoadOrder({ incarnation: "i0" }),
      outcome: { kind: "refused", reason: "wrong-incarnation" },
    },
    {
      title: "a lost response",
      faults: { lostOrderAnswers: true },
      outcome: { kind: "unknown" },
    },
    {
      title: "a crash during a load",
      faults: { crashOnLoad: "advice/last" },
      outcome: { kind: "unknown" },
    },
  ];
  for (const { title, faults: serverFaults, order, outcome } of faults) {
    it(`reports ${title}`, async () => {
      await using fake = await fakeBackend.startFakeBackend({
        id: "r1",
        incarnation: "i1",
        loadTimes: { storeMs: 1 },
        faults: serverFaults,
      });
      expect(await sendOrder(fake.address, order)).to.include(outcome);
    });
  }

  it("reports that no order was sent when the connection is refused", async () => {
    const fake = await fakeBackend.startFakeBackend({ id: "r1" });
    await fake.crash();
    expect(await sendOrder(fake.address)).to.include({
      kind: "refused",
      reason: "not-sent",
    });
  });

  const unusableResponses = [
    { title: "malformed JSON", response: httpResponse("{") },
    {
      title: "an unknown result kind",
      response: httpResponse('{"kind":"maybe"}'),
    },
    {
      title: "an error status",
      response: httpResponse('{"kind":"done"}', "500 X"),
    },
    {
      title: "a status that is none",
      response: httpResponse('{"kind":"done"}', "600 X"),
    },
    { title: "a response that is not HTTP", response: "garbage" },
    { title: "a truncated body", response: httpResponse("{}").slice(0, -1) },
    { title: "a missing response", response: "" },
    {
      title: "a body that is too large",
      response: httpResponse(" ".repeat(2 ** 17)),
    },
  ];
  for (const { title, response } of unusableResponses) {
    it(`reports the outcome after ${title} as unknown`, async () => {
      await using raw = await new rawServer.RawServer(response).start();
      const outcome = await sendOrder(
        raw.address,
        createLoadOrder({ timeoutMs: 1 }),
      );
      expect(outcome.kind).to.equal("unknown");
    });
  }

  it("reports the outcome of a cancelled order as unknown", async () => {
    await using raw = await new rawServer.RawServer("").start();
    const signal = AbortSignal.timeout(50);
    expect((await sendOrder(raw.address, createLoadOrder(), signal)).kind).to
      .equal("unknown");
  });
});
