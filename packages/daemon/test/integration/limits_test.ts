import { expect } from "chai";
import * as scenarios from "./scenario.ts";

/** Rate and burst of the workspace `partner`, in tokens. */
const RATE = 100;
const BURST = 300;
/** Tokens that one request reserves beyond its prompt. */
const MAX_TOKENS = 20;
/** Time during which all hosts send, in milliseconds. */
const DURATION_MS = 4_000;

describe("rates over all hosts", () => {
  it("keep a workspace within its rate and burst", async () => {
    await using scenario = await scenarios.Scenario.start({
      hosts: 4,
      engines: [{ generatedTokens: MAX_TOKENS, concurrency: 64 }],
    });
    const startedAt = performance.now();
    let tokens = 0;
    const send = async (host: number) => {
      while (performance.now() - startedAt < DURATION_MS) {
        const reply = await scenario.caller(host, "partner").chat(
          scenarios.MODEL,
          "question",
          { "max_tokens": MAX_TOKENS },
        );
        if (reply.status === 200) tokens += totalTokens(reply.text);
      }
    };
    await Promise.all([0, 1, 2, 3, 0, 1, 2, 3].map(send));
    const seconds = (performance.now() - startedAt) / 1_000;
    expect(tokens).to.be.at.most(BURST + RATE * seconds);
    // The rate is also had, apart from a burst that a new leader withholds.
    expect(tokens).to.be.at.least(RATE * seconds / 2);
    expect(scenario.violations).to.deep.equal([]);
  });
});

function totalTokens(text: string): number {
  const body = JSON.parse(text) as { usage: { ["total_tokens"]: number } };
  return body.usage["total_tokens"];
}
