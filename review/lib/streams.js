/**
 * Streams that may be resumed: their route, how a runner writes them, and a
 * client that takes its stream up again.
 *
 * @module
 */
// deno-lint-ignore-file camelcase -- field names of the users' pages
import * as http from "node:http";
import * as calls from "./calls.js";
import * as service from "./plain_service.js";

export const DEADLINE_MS = 25_000;
/** Part of the route that differs from a plain one; as `partner-restock`. */
export const ROUTE = {
  route_type: "streaming",
  timeout_ms: 25_000,
  target_latency_ms: 3_000,
  target_gap_ms: 300,
  priority: 1,
  max_attempts: 2,
  resumable: true,
};
const EVENTS = 80;
const EVENT_INTERVAL_MS = 100;
/** Pauses before a client's tries, in milliseconds. */
const PAUSES_MS = [300, 500, 1_000, 2_000, 2_000, 2_000, 2_000];

/** Runs a stream from the event on that the request asks for. */
export async function writeEvents({ headers, id }, response) {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "response-seal": `seal-${id}`,
  });
  const first = 1 + Number(headers["last-event-id"] ?? 0);
  for (let event = first; event <= EVENTS; event += 1) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: token\n\n`);
    await calls.sleep(EVENT_INTERVAL_MS);
  }
  response.end();
}

/** One stream of a client, over all its tries. */
export class ClientStream {
  id;
  /** Host of the first try. */
  host;
  lastEvent = 0;
  isComplete = false;
  /** Tries after the first one: when they were sent, and whether they went on. */
  tries = [];
  #record;
  #request;

  constructor(id, host, record) {
    this.id = id;
    this.host = host;
    this.#record = record;
  }

  /** Begins the stream; resolves when the answer has ended or was cut. */
  async begin() {
    await this.#attempt(this.host, this.id, {});
  }

  /** Closes the connection, as a break on the client's way does. */
  breakOff() {
    this.#request.destroy(new Error("broken"));
  }

  /** Takes the stream up again on new connections, at the hosts given. */
  async takeUp(pickHost) {
    for (const [index, pauseMs] of PAUSES_MS.entries()) {
      await calls.sleep(pauseMs);
      const earlier = this.lastEvent;
      const sentAt = performance.now();
      await this.#attempt(pickHost(), `${this.id}-${index + 1}`, {
        "last-event-id": earlier,
        resumes: this.id,
      });
      const wentOn = this.lastEvent > earlier;
      this.tries.push({ sentAt, wentOn });
      if (this.isComplete || wentOn) return;
    }
  }

  #attempt(host, id, headers) {
    this.#record(`client sends ${id} to ${host.name}, after ${this.lastEvent}`);
    const [ip, port] = host.addresses.callers.split(":");
    return new Promise((resolve) => {
      const finish = (end) => {
        this.#record(`${id} ends after event ${this.lastEvent}: ${end}`);
        resolve();
      };
      const request = http.request({
        host: ip,
        port,
        method: "POST",
        path: `${service.PREFIX}2f`,
        headers: {
          ...service.callerHeaders(id, DEADLINE_MS),
          "content-length": 0,
          ...headers,
        },
        agent: false,
      }, (response) => {
        let text = "";
        response.setEncoding("utf8");
        response.on("data", (chunk) => {
          text += chunk;
          const events = text.split("\n\n");
          text = events.pop();
          if (response.statusCode !== 200) return;
          for (const event of events) {
            const number = Number(/^id: (\d+)$/m.exec(event)[1]);
            this.lastEvent = Math.max(this.lastEvent, number);
          }
        });
        response.on("error", () => {});
        response.on("close", () => {
          const isWhole = response.complete && response.statusCode === 200;
          this.isComplete ||= isWhole;
          const end = response.complete ? "whole" : "cut";
          // A refusal states its reason in its body.
          const reason = response.statusCode === 200 ? "" : ` ${text.trim()}`;
          finish(`${response.statusCode}, ${end}${reason}`);
        });
      });
      this.#request = request;
      request.on("error", (error) => finish(error.message));
      request.end();
    });
  }
}
