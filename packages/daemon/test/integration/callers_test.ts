import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import OpenAI from "openai";
import * as undici from "undici";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

describe("callers before a fleet of three hosts", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      engines: [{}, {}],
      plains: [{}],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(() => expect(scenario.violations).to.deep.equal([]));

  for (const host of [0, 1, 2]) {
    it(`answers the OpenAI client at host ${host + 1}`, async () => {
      const client = new OpenAI({
        baseURL: `${scenario.fleet.host(host).callers}/v1`,
        apiKey: scenario.keys.get("web-shop")?.key ?? "",
        maxRetries: 0,
      });
      const messages = [{ role: "user" as const, content: "hello" }];
      const model = scenarios.MODEL;
      const whole = await client.chat.completions.create({ model, messages });
      expect(whole.choices[0]?.message.content).to.match(/^echo:hello/);
      const stream = await client.chat.completions.create({
        model: scenarios.ADAPTER,
        messages,
        stream: true,
      });
      let text = "";
      for await (const event of stream) {
        text += event.choices[0]?.delta.content ?? "";
      }
      expect(text).to.equal("echo:hello 1 2 3");
    });
  }

  it("lists the models of a workspace", async () => {
    const reply = await scenario.caller().call("GET", "/v1/models");
    const { data } = JSON.parse(reply.text) as { data: Array<{ id: string }> };
    expect(data.map((model) => model.id)).to.include.members([
      scenarios.MODEL,
      scenarios.ADAPTER,
    ]);
  });

  const refusals = [
    { title: "an unknown model", model: "advice/none", status: 404 },
    { title: "an unknown key", model: scenarios.MODEL, key: "x", status: 401 },
    { title: "no key", model: scenarios.MODEL, key: "", status: 401 },
  ];
  for (const { title, model, key, status } of refusals) {
    it(`refuses ${title} with ${status}, not run`, async () => {
      const { callers } = scenario.fleet.host(1);
      const asked = key === undefined
        ? scenario.caller(1)
        : new caller.Caller(callers, key === "" ? undefined : key);
      const reply = await asked.chat(model, "hello");
      expect(reply).to.include({ status, outcome: "not-run" });
    });
  }

  it("keeps a workspace from the services of another", async () => {
    const reply = await scenario.caller(0, "partner").order("none");
    expect(reply).to.include({ outcome: "not-run" });
    expect([403, 404]).to.include(reply.status);
    expect(scenario.executionsOf("none")).to.equal(0);
  });

  it("serves an open route without a key", async () => {
    const anyone = new caller.Caller(scenario.fleet.host(0).callers, undefined);
    const reply = await anyone.call("GET", "/services/orders/hours");
    expect(reply.status).to.equal(200);
  });

  it("stops a withdrawn key on open connections of every host", async () => {
    const { operator } = scenario.fleet.host(0);
    const { id, key } = await operator.grantKey("web-shop");
    const connections = scenario.fleet.hosts.map((host) => ({
      asked: new caller.Caller(host.callers, key),
      dispatcher: new undici.Client(host.callers),
    }));
    const waitForAll = async (status: number) =>
      await wait.waitFor(`status ${status} at every host`, async () => {
        const replies = await Promise.all(
          connections.map(({ asked, dispatcher }) =>
            asked.call("GET", "/services/orders/stock/1", { dispatcher })
          ),
        );
        return replies.every((reply) => reply.status === status);
      }, { timeoutMs: 3_000 });
    await waitForAll(200);
    await operator.withdrawKey(id);
    await waitForAll(401);
    for (const { dispatcher } of connections) await dispatcher.destroy();
  });
});
