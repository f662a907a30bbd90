import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import * as undici from "undici";
import * as scenarios from "./scenario.ts";

const { MODEL } = scenarios;
/** Pause between two tokens, in milliseconds. */
const TOKEN_MS = 50;
/** Tokens of an answer; it takes 20 seconds. */
const TOKENS = 400;
/** Requests that the engine announces to run at once. */
const CONCURRENCY = 16;
/** Streams that are asked for at once. */
const STREAMS = 12;
/** Hosts that are asked in turn. */
const HOSTS = 3;

describe("long streams at a fresh engine", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({ hosts: HOSTS });
    await scenario.addEngine({
      tokenMs: TOKEN_MS,
      generatedTokens: TOKENS,
      concurrency: CONCURRENCY,
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  /** Requests that the engine may run at once, as the hosts know it. */
  async function limit(): Promise<number> {
    const { servers } = await scenario.fleet.host(0).operator.status();
    return servers[0]?.limit ?? 0;
  }

  /** Begins a stream and returns its status; it runs on until the signal. */
  async function begin(index: number, signal: AbortSignal): Promise<number> {
    const { callers } = scenario.fleet.host(index % HOSTS);
    const key = scenario.keys.get("web-shop")?.key;
    const content = `question ${index}`;
    const { statusCode, body } = await undici.request(
      `${callers}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          "authorization": `Bearer ${key}`,
          "content-type": "application/json",
        },
        body: JSON.stringify({
          model: MODEL,
          messages: [{ role: "user", content }],
          stream: true,
        }),
        signal,
      },
    );
    body.on("error", () => {}); // The test gives it up.
    body.resume();
    return statusCode;
  }

  it("begin in their tier's time, and may be left without harm", async () => {
    const end = new AbortController();
    setMaxListeners(STREAMS, end.signal);
    const statuses = await Promise.all(
      Array.from({ length: STREAMS }, (_, index) => begin(index, end.signal)),
    );
    expect(statuses).to.deep.equal(Array(STREAMS).fill(200));
    const before = await limit();
    end.abort();
    await wait.waitFor(
      "the end of the streams",
      () => scenario.engines.every((engine) => engine.running === 0),
    );
    // Callers who leave say nothing of the engine.
    const again = new AbortController();
    setMaxListeners(STREAMS, again.signal);
    const later = await Promise.all(
      Array.from({ length: STREAMS }, (_, index) => begin(index, again.signal)),
    );
    again.abort();
    expect(later).to.deep.equal(Array(STREAMS).fill(200));
    expect(await limit()).to.be.at.least(before);
    expect(scenario.violations).to.deep.equal([]);
  });
});
