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

/** A sink that counts the events of its stream. */
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

/** Starts an attempt whose stream has delivered one event. */
async function startStream() {
  const body = new stream.PassThrough();
  const disconnect = new AbortController();
  const sink = new StreamSink();
  const clock = { nowMs: 0 };
  // The HTTP exchange destroys the response body when the caller disconnects.
  disconnect.signal.addEventListener("abort", () => body.destroy(new Error()));
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
    signal: disconnect.signal,
    streamIdleTimeoutMs: 10_000,
    firstByteTimeoutMs: 10_000,
    clock,
    useNewConnection: false,
    onFirstByte: () => {},
    onStreamSustained: () => {},
  });
  body.write(EVENT);
  await wait.waitFor("the first event", () => sink.started);
  return { clock, body, disconnect, result };
}

describe("attempt with a streamed answer", () => {
  const cases = [
    { title: "was delivering events", silenceMs: 0, mayStillRun: false },
    { title: "had paused briefly", silenceMs: 1_999, mayStillRun: false },
    { title: "had gone silent", silenceMs: 2_000, mayStillRun: true },
  ];
  for (const { title, silenceMs, mayStillRun } of cases) {
    it(`is neutral if the caller disconnects while the stream ${title}`, async () => {
      const { clock, disconnect, result } = await startStream();
      clock.nowMs += silenceMs;
      disconnect.abort();
      const attemptResult = await result;
      expect(attemptResult).to.include({ fault: "cancelled", mayStillRun });
      expect(attempts.slotOutcome(attemptResult)).to.equal("neutral");
    });
  }

  it("counts as a server failure if the stream is interrupted", async () => {
    const { body, result } = await startStream();
    body.destroy(new Error("ECONNRESET"));
    const attemptResult = await result;
    expect(attemptResult).to.include({ fault: "cut", mayStillRun: false });
    expect(attempts.slotOutcome(attemptResult)).to.equal("failed");
  });
});
