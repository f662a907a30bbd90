import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as undici from "undici";
import * as scenarios from "./scenario.ts";

const { MODEL } = scenarios;
const CHAT = "/v1/chat/completions";
const MESSAGES = [{ role: "user", content: "hello" }];
const GIANT = "x".repeat(5 * 1024 * 1024);

interface BadRequest {
  readonly title: string;
  readonly path?: string;
  readonly method?: "GET" | "POST" | "DELETE";
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly status: number;
}

const BAD_REQUESTS: readonly BadRequest[] = [
  { title: "malformed JSON", body: "{", status: 400 },
  { title: "a body that is no object", body: "7", status: 400 },
  { title: "a model of the wrong type", body: '{"model":7}', status: 400 },
  {
    title: "no messages",
    body: JSON.stringify({ model: MODEL }),
    status: 400,
  },
  {
    title: "negative max_tokens",
    body: JSON.stringify({ model: MODEL, messages: MESSAGES, max_tokens: -1 }),
    status: 400,
  },
  {
    title: "an unknown tier",
    body: JSON.stringify({ model: MODEL, messages: MESSAGES }),
    headers: { "ebonypath-tier": "none" },
    status: 400,
  },
  { title: "a giant body", body: GIANT, status: 413 },
  {
    title: "giant headers",
    body: "{}",
    headers: { "x-filler": "x".repeat(20_000) },
    status: 413,
  },
  { title: "a wrong method", method: "GET", status: 400 },
  { title: "an unknown path", path: "/v2/chat", body: "{}", status: 404 },
  {
    title: "an unknown route",
    path: "/services/orders/none",
    body: "{}",
    status: 404,
  },
  {
    title: "an empty idempotency key",
    path: "/services/orders/orders",
    body: "{}",
    headers: { "idempotency-key": "" },
    status: 400,
  },
  {
    title: "an unknown answer",
    path: `/v1/answers/${"0".repeat(32)}`,
    method: "GET",
    status: 404,
  },
];

describe("bad requests at the callers' interface", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 1,
      engines: [{ tokenMs: 20, generatedTokens: 120 }],
      plains: [{}],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  function headers(): Record<string, string> {
    const key = scenario.keys.get("web-shop")?.key ?? "";
    return {
      "authorization": `Bearer ${key}`,
      "content-type": "application/json",
    };
  }

  for (const bad of BAD_REQUESTS) {
    it(`answer ${bad.status}, not run, to ${bad.title}`, async () => {
      const origin = scenario.fleet.host(0).callers;
      const answer = await undici.request(`${origin}${bad.path ?? CHAT}`, {
        method: bad.method ?? "POST",
        headers: { ...headers(), ...bad.headers },
        body: bad.body ?? null,
      });
      const text = await answer.body.text();
      expect(answer.statusCode, text).to.equal(bad.status);
      expect(answer.headers["ebonypath-outcome"]).to.equal("not-run");
      expect(JSON.parse(text)).to.include({ status: bad.status });
    });
  }

  it("are followed by good ones", async () => {
    const answer = await scenario.caller(0).call("GET", "/v1/models");
    expect(answer.status).to.equal(200);
  });

  it("cancels the work of a caller who leaves", async () => {
    const [engine] = scenario.engines;
    const leaving = new AbortController();
    const asked = undici.request(`${scenario.fleet.host(0).callers}${CHAT}`, {
      method: "POST",
      headers: headers(),
      body: JSON.stringify({ model: MODEL, messages: MESSAGES, stream: true }),
      signal: leaving.signal,
    }).then((answer) => answer.body.dump()).catch(() => undefined);
    await wait.waitFor(
      "the request at the engine",
      () => engine?.running === 1,
    );
    leaving.abort();
    await asked;
    await wait.waitFor("the end of the work", () => engine?.running === 0, {
      timeoutMs: 5_000,
    });
  });
});
