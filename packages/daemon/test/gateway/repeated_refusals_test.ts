import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import { expect } from "chai";
import {
  createContext,
  createDispatcher,
  sendRequest,
  serverRecord,
} from "./dispatching.ts";

/** Connections that are kept before the refusals. */
const CONNECTIONS = 8;
/** Time until the first answer on a connection, so that others are opened. */
const FIRST_ANSWER_MS = 50;
/** Servers that are left to select for the request in question. */
const SELECTIONS = 6;
/** Servers that one request may run on, as `createContext` sets it. */
const MAX_RUNS = 2;

/** How a server identifies the refusal that it repeats. */
type Identification = "with its id" | "without an id";

/**
 * A server that answers the first request on each connection and repeats an
 * earlier refusal in place of each later answer, while it runs the request.
 */
class RepeatingServer implements Disposable {
  /** Number of runs by request id. */
  readonly runs = new Map<string, number>();
  readonly #identification: Identification;
  readonly #sockets = new Set<net.Socket>();
  readonly #server: net.Server;

  private constructor(identification: Identification) {
    this.#identification = identification;
    this.#server = net.createServer((socket) => {
      let isFirst = true;
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (head) => {
        const id = /^x-id: (\S+)/im.exec(head.toString())?.[1] ?? "";
        this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
        if (isFirst) {
          setTimeout(() => socket.write(answer(id)), FIRST_ANSWER_MS);
        } else socket.write(this.#refusal());
        isFirst = false;
      });
    });
  }

  static async start(identification: Identification) {
    const server = new RepeatingServer(identification);
    server.#server.listen(0, "127.0.0.1");
    await once(server.#server, "listening");
    return server;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  [Symbol.dispose](): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #refusal(): string {
    const id = this.#identification === "with its id" ? "X-Id: old\r\n" : "";
    return `HTTP/1.1 503 Full\r\n${id}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;
  }
}

function answer(id: string): string {
  return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`;
}

describe("an earlier refusal that is repeated on a kept connection", () => {
  for (const identification of ["with its id", "without an id"] as const) {
    it(`${identification} is not taken for a request that was run`, async () => {
      using server = await RepeatingServer.start(identification);
      const record = serverRecord("s1", server.address);
      const selections = Array(CONNECTIONS + SELECTIONS).fill(record);
      const dispatching = createDispatcher(selections);
      const gateway = http.createServer((request, response) => {
        const id = String(request.headers["x-id"]);
        const context = createContext("safe", false, { id });
        void dispatching.serve({ context, request, body: undefined, response });
      });
      gateway.listen(0, "127.0.0.1");
      await once(gateway, "listening");
      try {
        const { port } = gateway.address() as net.AddressInfo;
        const answers = await Promise.all(
          Array.from(
            { length: CONNECTIONS },
            (_, index) => sendRequest(port, `first-${index}`),
          ),
        );
        expect(answers.map(({ status }) => status))
          .to.deep.equal(Array(CONNECTIONS).fill(200));
        const { status } = await sendRequest(port, "next");
        expect(status).to.equal(200);
        expect(server.runs.get("next")).to.equal(MAX_RUNS);
      } finally {
        gateway.close();
      }
    });
  }
});
