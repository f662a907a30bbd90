import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";

/** What the fake answers: a status with a body, or a cut connection. */
export type FakeAnswer = readonly [status: number, body: unknown] | "cut";

/** A request that arrived. */
export interface FakeRequest {
  readonly call: string;
  readonly body: { readonly [name: string]: unknown };
  readonly authorization: string | undefined;
}

/** Answers by `METHOD /path`; the last of several answers is repeated. */
export type FakeAnswers = Readonly<Record<string, readonly FakeAnswer[]>>;

/** An operators' listener that answers as it is told. */
export class FakeServer implements AsyncDisposable {
  readonly requests: FakeRequest[] = [];
  readonly #server: http.Server;
  readonly #answers: FakeAnswers;

  private constructor(answers: FakeAnswers) {
    this.#answers = answers;
    this.#server = http.createServer((request, response) =>
      void this.#handle(request, response)
    );
  }

  static async start(answers: FakeAnswers): Promise<FakeServer> {
    const fake = new FakeServer(answers);
    fake.#server.listen(0, "127.0.0.1");
    await once(fake.#server, "listening");
    return fake;
  }

  get origin(): string {
    const { port } = this.#server.address() as net.AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Bodies of the requests of one call. */
  bodies(call: string): FakeRequest["body"][] {
    return this.requests.filter((request) => request.call === call)
      .map(({ body }) => body);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, "close");
  }

  async #handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const part of request.setEncoding("utf8")) text += part;
    const call = `${request.method} ${request.url?.split("?")[0]}`;
    const body = text === "" ? {} : JSON.parse(text);
    const { authorization } = request.headers;
    const earlier = this.bodies(call).length;
    this.requests.push({ call, body, authorization });
    const answers = this.#answers[call] ?? [];
    const answer = answers[Math.min(earlier, answers.length - 1)];
    if (answer === "cut") {
      request.socket.destroy();
      return;
    }
    const [status, content] = answer ?? [404, problem(404, "no answer")];
    response.statusCode = status;
    response.end(JSON.stringify(content));
  }
}

/** A problem document. */
export function problem(
  status: number,
  detail: string,
  outcome = "not-run",
): { readonly [name: string]: unknown } {
  return { title: "Refused", status, detail, outcome, hint: "do otherwise" };
}
