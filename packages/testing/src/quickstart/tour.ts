import * as path from "node:path";
import * as undici from "undici";
import * as wait from "../wait.ts";
import type * as installation from "./installation.ts";
import type * as printer from "./printer.ts";

const MODEL = "advice/assistant-small";
const ORDER_PATH = "/services/orders/orders";
/** Longest wait for one answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 30_000;
/** Longest wait for a deferred answer in one poll, in seconds. */
const POLL_S = 10;

/** A whole answer to a caller. */
interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/**
 * Publishes the examples, grants a key and sends one request of each kind.
 * Returns the key.
 *
 * @example
 * ```ts
 * const key = await run(installed, print);
 * ```
 */
export async function run(
  installed: installation.Installation,
  print: printer.Printer,
): Promise<string> {
  await publish(installed, print);
  const key = await grant(installed, print);
  const caller = new Caller(installed.host.callers, key);
  await waitForServers(installed);
  await chat(caller, print);
  await stream(caller, print);
  await defer(caller, print);
  await order(caller, installed, print);
  return key;
}

/** Commands to try while the installation runs. */
export function commands(
  installed: installation.Installation,
  key: string,
): string[] {
  const { host, root, tokenFile } = installed;
  const body = JSON.stringify(question("What keeps a spade from rusting?"));
  const cli = path.relative(
    root,
    path.join(root, "packages/cli/dist/src/main.js"),
  );
  const options = `--server ${host.operators} --token-file ${
    path.relative(root, tokenFile)
  }`;
  const curl = `curl -sS -H 'Authorization: Bearer ${key}'`;
  const json = "-H 'Content-Type: application/json'";
  return [
    `${curl} ${host.callers}/v1/models`,
    `${curl} ${json} -d '${body}' ${host.callers}/v1/chat/completions`,
    `${curl} ${json} -H 'Ebonypath-Tier: later' -i -d '${body}' ${host.callers}/v1/chat/completions`,
    `${curl} ${json} -H 'Idempotency-Key: order-8' -d '{"orderId":"order-8"}' ${host.callers}${ORDER_PATH}`,
    `curl -sS ${host.callers}/services/orders/opening-hours`,
    `curl -sS ${host.operators}/metrics`,
    `node ${cli} status ${options}`,
    `node ${cli} audit --verify ${options}`,
  ];
}

async function publish(
  installed: installation.Installation,
  print: printer.Printer,
): Promise<void> {
  print.step("Publish the service files below examples/");
  const examples = path.join(installed.root, "examples");
  print.lines("$ ebonypath publish examples");
  const text = await installed.operate("publish", examples);
  print.lines(text.replaceAll(`${installed.root}${path.sep}`, ""));
}

async function grant(
  installed: installation.Installation,
  print: printer.Printer,
): Promise<string> {
  print.step("Grant a key to the workspace web-shop");
  print.lines("$ ebonypath key grant web-shop");
  const text = await installed.operate("key", "grant", "web-shop");
  print.lines(text);
  const key = /^ep_\S+$/m.exec(text)?.[0];
  if (key === undefined) throw new Error("no key was printed");
  return key;
}

/** Waits until both backend servers are known, so that times are honest. */
async function waitForServers(
  installed: installation.Installation,
): Promise<void> {
  await wait.waitFor("both backend servers to be known", async () => {
    const { servers } = await installed.host.operator.status();
    return servers.length >= 2;
  });
}

async function chat(caller: Caller, print: printer.Printer): Promise<void> {
  print.step(`Ask ${MODEL}, which no backend server has loaded yet`);
  const body = question("Which gloves suit rose pruning?");
  const first = await caller.timed("POST", "/v1/chat/completions", body);
  print.lines(`${first.answer.status} after ${first.elapsed}, with its load`);
  print.lines(contentOf(first.answer.text));
  const again = await caller.timed("POST", "/v1/chat/completions", body);
  print.lines(`${again.answer.status} after ${again.elapsed}, now loaded`);
}

async function stream(caller: Caller, print: printer.Printer): Promise<void> {
  print.step("The same as a stream, shown as it arrives");
  const body = { ...question("And which for hedges?"), stream: true };
  print.start("");
  let isWhole = false;
  for await (const data of caller.events("/v1/chat/completions", body)) {
    if (data === "[DONE]") isWhole = true;
    else print.part(deltaOf(data));
  }
  print.part("\n");
  if (!isWhole) throw new Error("the stream ended without its terminal event");
  print.lines("whole: the terminal event came");
}

async function defer(caller: Caller, print: printer.Printer): Promise<void> {
  print.step("A deferred request: cheaper, collected later");
  const body = question("Plan the spring restock, please.");
  const headers = { "ebonypath-tier": "later" };
  const accepted = await caller.send(
    "POST",
    "/v1/chat/completions",
    body,
    headers,
  );
  const location = String(accepted.headers["location"]);
  print.lines(`${accepted.status}, collect at ${location}`);
  const collected = await wait.waitFor("the deferred answer", async () => {
    const prefer = { prefer: `wait=${POLL_S}` };
    const answer = await caller.send("GET", location, undefined, prefer);
    return answer.status === 202 ? undefined : answer;
  }, { timeoutMs: ANSWER_TIMEOUT_MS });
  print.lines(`${collected.status} ${contentOf(collected.text)}`);
}

async function order(
  caller: Caller,
  installed: installation.Installation,
  print: printer.Printer,
): Promise<void> {
  print.step("An order that must not run twice, and its repeat");
  const body = { orderId: "order-7", quantity: 2 };
  const headers = { "idempotency-key": "order-7" };
  const first = await caller.send("POST", ORDER_PATH, body, headers);
  print.lines(`${first.status} ${first.text.trim()}`);
  const repeat = await caller.send("POST", ORDER_PATH, body, headers);
  const isSame = repeat.text === first.text;
  print.lines(
    `repeat: ${repeat.status}, ${
      isSame ? "the same answer" : "ANOTHER ANSWER"
    }`,
  );
  const count = installed.plain.journal.executionsOf("order-7");
  print.lines(`times it ran at the plain service: ${count}`);
  if (count !== 1 || !isSame) throw new Error("the order did not run once");
}

/** Calls the system as a workspace does. */
class Caller {
  readonly #origin: string;
  readonly #key: string;

  constructor(origin: string, key: string) {
    this.#origin = origin;
    this.#key = key;
  }

  async send(
    method: "GET" | "POST",
    target: string,
    body?: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Answer> {
    const response = await this.#request(method, target, body, headers);
    const text = await response.body.text();
    const answer = {
      status: response.statusCode,
      headers: response.headers,
      text,
    };
    if (answer.status >= 300) throw new Error(`${answer.status} ${text}`);
    return answer;
  }

  async timed(
    method: "GET" | "POST",
    target: string,
    body: object,
  ): Promise<{ answer: Answer; elapsed: string }> {
    const start = performance.now();
    const answer = await this.send(method, target, body);
    const seconds = (performance.now() - start) / 1_000;
    return { answer, elapsed: `${seconds.toFixed(2)} s` };
  }

  /** Yields the data of server-sent events. */
  async *events(target: string, body: object): AsyncGenerator<string> {
    const response = await this.#request("POST", target, body, {});
    let rest = "";
    for await (const part of response.body.setEncoding("utf8")) {
      const lines = (rest + part).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) {
        if (line.startsWith("data: ")) yield line.slice("data: ".length).trim();
      }
    }
  }

  #request(
    method: "GET" | "POST",
    target: string,
    body: object | undefined,
    headers: Readonly<Record<string, string>>,
  ) {
    return undici.request(this.#origin + target, {
      method,
      headers: {
        authorization: `Bearer ${this.#key}`,
        "content-type": "application/json",
        ...headers,
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
  }
}

function question(content: string): object {
  return { model: MODEL, messages: [{ role: "user", content }] };
}

interface Choices {
  readonly choices?: readonly {
    readonly message?: { readonly content?: string };
    readonly delta?: { readonly content?: string };
  }[];
}

function contentOf(text: string): string {
  const { choices } = JSON.parse(text) as Choices;
  return choices?.[0]?.message?.content ?? text;
}

function deltaOf(data: string): string {
  const { choices } = JSON.parse(data) as Choices;
  return choices?.[0]?.delta?.content ?? "";
}
