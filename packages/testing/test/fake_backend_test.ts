import { expect } from "chai";
import * as undici from "undici";
import type { backend } from "@ebonypath/protocol";
import * as fakeBackend from "../src/fake_backend/mod.ts";
import * as wait from "../src/wait.ts";

const MODEL = "advice/last";
const GIB = 2 ** 30;

function loadedModel(): backend.LoadedModel {
  return { model: MODEL, version: "1", bytes: GIB };
}

async function post(
  fake: fakeBackend.FakeBackend,
  path: string,
  body: unknown,
  headers: Record<string, string> = {},
) {
  return await undici.request(`${fake.address}${path}`, {
    method: "POST",
    headers: { "x-request-id": "r1", ...headers },
    body: JSON.stringify(body),
  });
}

function chat(text: string, more: object = {}) {
  return {
    model: MODEL,
    messages: [{ role: "user", content: text }],
    ...more,
  };
}

async function order(
  fake: fakeBackend.FakeBackend,
  fields: Partial<backend.Order>,
): Promise<unknown> {
  const answer = await post(fake, "/orders", {
    kind: "load",
    fence: 1,
    incarnation: fake.incarnation,
    timeoutMs: 5_000,
    model: MODEL,
    version: "1",
    bytes: GIB,
    ...fields,
  });
  return await answer.body.json();
}

describe("fake backend server", () => {
  let fake: fakeBackend.FakeBackend;

  beforeEach(async () => {
    fake = await fakeBackend.startFakeBackend({
      id: "runner-1",
      loaded: [loadedModel()],
      memoryBytes: 4 * GIB,
      loadTimes: { storeMs: 5 },
      concurrency: 2,
    });
  });

  afterEach(async () => await fake[Symbol.asyncDispose]());

  it("answers a chat and echoes the request id", async () => {
    const answer = await post(fake, "/v1/chat/completions", chat("hello"));
    const body = await answer.body.json() as {
      choices: [{ message: { content: string } }];
      usage: Record<string, number>;
    };
    expect(answer.headers["x-request-id"]).to.equal("r1");
    expect(body.choices[0].message.content).to.equal("echo:hello 1 2 3");
    expect(body.usage).to.include({ "prompt_tokens": 1, "total_tokens": 5 });
  });

  it("streams with a terminal event", async () => {
    const body = chat("hello", { stream: true });
    const answer = await post(fake, "/v1/chat/completions", body);
    const text = await answer.body.text();
    expect(text.split("\n\n").length).to.equal(7);
    expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
  });

  it("refuses a model that is not loaded before it starts", async () => {
    fake.turnCold();
    const answer = await post(fake, "/v1/chat/completions", chat("hello"));
    expect(answer.statusCode).to.equal(409);
    expect(answer.headers["x-ebonypath-not-started"]).to.equal("true");
    await answer.body.dump();
  });

  const orders: Array<{
    title: string;
    fields: Partial<backend.Order>;
    result: unknown;
  }> = [
    {
      title: "loads",
      fields: { model: "advice/other" },
      result: { kind: "done" },
    },
    {
      title: "loads an adapter",
      fields: { kind: "load-adapter", model: `${MODEL}:wool` },
      result: { kind: "done" },
    },
    {
      title: "unloads",
      fields: { kind: "unload" },
      result: { kind: "done" },
    },
    {
      title: "refuses an adapter without its model",
      fields: { kind: "load-adapter", model: "advice/other:wool" },
      result: { kind: "refused", reason: "not-loaded" },
    },
    {
      title: "refuses more than its memory",
      fields: { model: "advice/big", bytes: 4 * GIB },
      result: { kind: "refused", reason: "no-memory" },
    },
    {
      title: "refuses another incarnation",
      fields: { incarnation: "other" },
      result: { kind: "refused", reason: "wrong-incarnation" },
    },
  ];
  for (const { title, fields, result } of orders) {
    it(`order: ${title}`, async () => {
      expect(await order(fake, fields)).to.deep.equal(result);
    });
  }

  it("refuses an old fencing number", async () => {
    await order(fake, { fence: 9 });
    expect(await order(fake, { fence: 8 })).to.deep.equal({
      kind: "refused",
      reason: "stale-fence",
    });
  });

  it("crashes on a marked body and comes back as another incarnation", async () => {
    fake.faults.crashMarker = "boom";
    const before = fake.incarnation;
    const failure = await post(fake, "/v1/chat/completions", chat("boom")).then(
      () => undefined,
      (error: Error) => error,
    );
    expect(failure).to.be.instanceOf(Error);
    await wait.waitFor("the crash", () => !fake.isRunning);
    await fake.restart();
    expect(fake.incarnation).not.to.equal(before);
    expect(fake.loaded).to.deep.equal([]);
  });

  it("swaps the answers of two requests", async () => {
    fake.faults.crossed = true;
    const [first, second] = await Promise.all(
      ["r1", "r2"].map((id) =>
        post(fake, "/v1/chat/completions", chat(id), { "x-request-id": id })
      ),
    );
    expect(first?.headers["x-request-id"]).to.equal("r2");
    expect(second?.headers["x-request-id"]).to.equal("r1");
    await first?.body.dump();
    await second?.body.dump();
  });

  it("records a key as a violation", async () => {
    const headers = { authorization: "Bearer secret" };
    const answer = await post(fake, "/v1/completions", chat("x"), headers);
    await answer.body.dump();
    expect(fake.journal.violations.map((entry) => entry.kind)).to.deep.equal([
      "key-seen",
    ]);
  });

  it("falls over when it is fresh and gets too much", async () => {
    await using fresh = await fakeBackend.startFakeBackend({
      id: "runner-2",
      loaded: [loadedModel()],
      firstTokenMs: 50,
      warmUp: { start: 1, perSuccess: 1 },
    });
    await Promise.allSettled(
      ["a", "b"].map((text) => post(fresh, "/v1/chat/completions", chat(text))),
    );
    expect(fresh.isRunning).to.equal(false);
    expect(fresh.journal.violations[0]?.kind).to.equal("overloaded-when-fresh");
  });
});

describe("weight store", () => {
  it("never runs more loads at once than it allows", async () => {
    const store = new fakeBackend.WeightStore({ loadsPerSecond: 1_000 });
    const { signal } = new AbortController();
    const loads = Array.from({ length: 9 }, () => store.load(5, signal));
    const startedAt = performance.now();
    await Promise.all(loads);
    expect(store.loads).to.equal(9);
    expect(performance.now() - startedAt).to.be.at.least(3 * 4.5);
  });
});
