/**
 * HTTP calls of clients and of the operator, as the users' protocol page has
 * them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as timers from "node:timers/promises";

/** Time after which the operator moves on to another host, in milliseconds. */
const OPERATOR_TIMEOUT_MS = 1_000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;
/** Limit of the operator's attempts; a call that never ends can't be judged. */
const MAX_ATTEMPTS = 60;

export function sleep(ms) {
  return timers.setTimeout(Math.max(0, ms));
}

/** Sends one request on a new connection and reads the whole answer. */
export function send(address, method, target, options = {}) {
  const { body = "", headers = {}, timeoutMs } = options;
  const separator = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    const request = http.request({
      host: address.slice(0, separator),
      port: address.slice(separator + 1),
      method,
      path: target,
      headers: {
        ...headers,
        ...(body === "" ? {} : { "content-length": Buffer.byteLength(body) }),
      },
      agent: false,
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", reject);
      response.on("close", () => {
        clearTimeout(timer);
        if (!response.complete) reject(new Error("the answer was cut"));
        else {
          resolve({
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString("utf8"),
          });
        }
      });
    });
    const timer = timeoutMs === undefined
      ? undefined
      : setTimeout(() => request.destroy(new Error("no answer")), timeoutMs);
    request.on("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    request.end(body);
  });
}

/**
 * An operator. It moves on to the next host after a failure, a 5xx or a second
 * without an answer, and sends the same order again.
 */
export class Operator {
  #hosts;
  #record;

  constructor(hosts, record) {
    this.#hosts = hosts;
    this.#record = record;
  }

  /** Sends an order until it is acknowledged; `first` is called first. */
  async order(method, target, { body = "", first } = {}) {
    const others = this.#hosts().filter((host) => host !== first);
    const hosts = first === undefined ? others : [first, ...others];
    let backoffMs = FIRST_BACKOFF_MS;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const host = hosts[attempt % hosts.length];
      const what = `${method} ${target} to ${host.name}`;
      try {
        this.#record(`operator sends ${what}`);
        const { status } = await send(host.addresses.control, method, target, {
          body,
          headers: body === "" ? {} : { "content-type": "application/json" },
          timeoutMs: OPERATOR_TIMEOUT_MS,
        });
        this.#record(`operator gets ${status} for ${what}`);
        if (status >= 200 && status < 300) return host;
        if (status < 500) throw new TypeError(`${what}: refused, ${status}`);
      } catch (error) {
        if (error instanceof TypeError) throw error;
        this.#record(`operator gets no answer for ${what}: ${error.message}`);
      }
      await sleep(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
    throw new Error(`${method} ${target}: never acknowledged`);
  }
}
