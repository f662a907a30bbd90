import { Buffer } from "node:buffer";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import type { launcher } from "@ebonypath/testing";
import { expect } from "chai";
import * as undici from "undici";
import * as caller from "./caller.ts";
import * as scenarios from "./scenario.ts";

const LATER = { headers: { "ebonypath-tier": "later" } };
/** Secrets that nobody was given. */
const WRONG_KEY = "ep_wrong0123456789abcdef";
const WRONG_TOKEN = "wrong0123456789abcdef0123456789";

/** A place where a secret must not appear. */
interface Place {
  readonly name: string;
  readonly content: Buffer;
}

describe("secrets", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      engines: [{}],
      plains: [{}],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  it("appear in no log, metric, audit line, answer or data folder", async () => {
    const withdrawn = await scenario.fleet.host(1).operator
      .grantKey("web-shop");
    const places = [
      ...await answersOf(withdrawn),
      ...await metricsAndAudit(),
      ...logs(),
      ...await dataFiles(path.join(scenario.fleet.folder, "data")),
    ];
    const { fleet, joinToken, operatorToken } = scenario.fleet.secrets;
    const keys = [...scenario.keys.values(), withdrawn].map(({ key }) => key);
    const secrets = [...keys, fleet, joinToken, operatorToken];
    const found = [...secrets, WRONG_KEY, WRONG_TOKEN].flatMap((secret) =>
      places.filter(({ content }) => contains(content, secret))
        .map(({ name }) => `${name}: ${secret}`)
    );
    expect(found).to.deep.equal([]);
    // The search would have found what is known to be there.
    expect(places.some((one) => contains(one.content, withdrawn.id)))
      .to.equal(true);
  });

  /** Answers and refusals of every kind, at every host. */
  async function answersOf(
    withdrawn: { id: string; key: string },
  ): Promise<Place[]> {
    const places: Place[] = [];
    for (const [index, host] of scenario.fleet.hosts.entries()) {
      const known = scenario.caller(index);
      const wrong = new caller.Caller(host.callers, WRONG_KEY);
      const replies = [
        await known.chat(scenarios.MODEL, "hello"),
        await known.chat(scenarios.MODEL, "stream", { stream: true }),
        await known.chat("advice/none", "hello"),
        await known.chat(scenarios.MODEL, "later", {}, LATER),
        await known.order(`order-${index}`, `order-${index}`),
        await known.call("POST", "/v1/chat/completions", { body: "no" }),
        await wrong.chat(scenarios.MODEL, "hello"),
        await wrong.call("GET", "/v1/answers/0123456789abcdef"),
      ];
      const rejected = await wrongTokens(host);
      places.push(
        ...[...replies.map(render), ...rejected].map((text) => ({
          name: `answer of ${host.name}`,
          content: Buffer.from(text),
        })),
      );
    }
    await scenario.fleet.host(2).operator.withdrawKey(withdrawn.id);
    return places;
  }

  /** What the listeners for operators and backend servers refuse. */
  async function wrongTokens(host: launcher.FleetHost): Promise<string[]> {
    const targets = [
      `${host.operators}/v1/status`,
      `${host.backends}/v1/backend-servers/announcements`,
      `http://${host.options.fleetAddress}/rpc`,
    ];
    return await Promise.all(targets.map(async (target) => {
      const answer = await undici.request(target, {
        method: target.endsWith("status") ? "GET" : "POST",
        headers: { authorization: `Bearer ${WRONG_TOKEN}` },
        ...target.endsWith("status") ? {} : { body: "{}" },
        reset: true,
      });
      expect(answer.statusCode).to.equal(401);
      return await answer.body.text();
    }));
  }

  async function metricsAndAudit(): Promise<Place[]> {
    const { operatorToken } = scenario.fleet.secrets;
    const paths = ["/metrics", "/v1/audit", "/v1/status", "/v1/keys"];
    const places: Place[] = [];
    for (const host of scenario.fleet.hosts) {
      for (const route of paths) {
        const answer = await undici.request(host.operators + route, {
          headers: { authorization: `Bearer ${operatorToken}` },
          reset: true,
        });
        expect(answer.statusCode, route).to.equal(200);
        const content = Buffer.from(await answer.body.arrayBuffer());
        places.push({ name: `${route} of ${host.name}`, content });
      }
    }
    return places;
  }

  function logs(): Place[] {
    return scenario.fleet.hosts.map((host) => ({
      name: `log of ${host.name}`,
      content: Buffer.from(host.process.lines.join("\n")),
    }));
  }
});

function render(reply: caller.Reply): string {
  return `${JSON.stringify(reply.headers)}\n${reply.text}`;
}

async function dataFiles(folder: string): Promise<Place[]> {
  const entries = await fs.readdir(folder, {
    recursive: true,
    withFileTypes: true,
  });
  const files = entries.filter((entry) => entry.isFile())
    .map((entry) => path.join(entry.parentPath, entry.name));
  expect(files.length).to.be.greaterThan(0);
  return await Promise.all(files.map(async (file) => ({
    name: file,
    content: await fs.readFile(file),
  })));
}

/** Whether a secret stands there as it is, or in base64. */
function contains(content: Buffer, secret: string): boolean {
  return content.includes(secret) ||
    content.includes(Buffer.from(secret).toString("base64"));
}
