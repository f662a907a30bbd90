import { Buffer } from "node:buffer";
import * as stream from "node:stream";
import type * as protocol from "@ebonypath/protocol";
import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as attempts from "../../src/entry/attempt.ts";
import type * as types from "../../src/entry/types.ts";
import * as fixtures from "./work_fixtures.ts";

const EVENT = Buffer.from('data: {"choices":[]}\n\n');
const SERVER = {
  id: "engine-1",
  address: "http://127.0.0.1:9",
  kind: "engine",
} as protocol.control.ServerStatus;

/** A caller that counts the events of its stream. */
class StreamSink implements types.Sink {
  events = 0;
  get started(): boolean {
    return this.events > 0;
  }
  answer(): void {}
  begin(): void {}
  write(): Promise<void> {
    this.events += 1;
    return Promise.resolve();
  }
  end(): void {}
  refuse(): void {}
}

/** A try whose stream has brought one event. */
async function streaming() {
  const body = new stream.PassThrough();
  const leaving = new AbortController();
  const sink = new StreamSink();
  const clock = { nowMs: 0 };
  // The exchange of a request ends its body when the caller leaves.
  leaving.signal.addEventListener("abort", () => body.destroy(new Error()));
  const result = attempts.attempt({
    client: {
      dispatch: () =>
        Promise.resolve({
          kind: "answered",
          status: 200,
          headers: { "content-type": "text/event-stream" },
          body,
        }),
    },
    server: SERVER,
    work: fixtures.work("web-shop", { stream: true }),
    sink,
    signal: leaving.signal,
    streamIdleTimeoutMs: 10_000,
    firstByteTimeoutMs: 10_000,
    clock,
    useNewConnection: false,
    onFirstByte: () => {},
    onStreamSustained: () => {},
  });
  body.write(EVENT);
  await wait.waitFor("the first event", () => sink.started);
  return { clock, body, leaving, result };
}

describe("tries of a stream", () => {
  const cases = [
    { title: "flows", silenceMs: 0, mayStillRun: false },
    { title: "paused for a moment", silenceMs: 1_999, mayStillRun: false },
    { title: "fell silent", silenceMs: 2_000, mayStillRun: true },
  ];
  for (const { title, silenceMs, mayStillRun } of cases) {
    it(`say nothing of the server when one is left that ${title}`, async () => {
      const { clock, leaving, result } = await streaming();
      clock.nowMs += silenceMs;
      leaving.abort();
      const ended = await result;
      expect(ended).to.include({ fault: "cancelled", mayStillRun });
      expect(attempts.slotOutcome(ended)).to.equal("neutral");
    });
  }

  it("show a failed server when one is cut", async () => {
    const { body, result } = await streaming();
    body.destroy(new Error("ECONNRESET"));
    const ended = await result;
    expect(ended).to.include({ fault: "cut", mayStillRun: false });
    expect(attempts.slotOutcome(ended)).to.equal("failed");
  });
});
