/**
 * A sound runner of a plain service: registers, answers its health check, and
 * runs what it is sent.
 *
 * @module
 */
import * as http from "node:http";
import * as calls from "./calls.js";

const HEARTBEAT_MS = 1_200;
/** Time within which a heartbeat is acknowledged, in milliseconds. */
const ACKNOWLEDGEMENT_MS = 1_000;

export class Runner {
  id;
  zone;
  /** Requests that it began to run: id, headers and monotonic time. */
  runs = [];
  /** Whether its answers say that it leaves. */
  isLeaving = false;
  #service;
  #ip;
  #hosts;
  #record;
  #version;
  #workMs;
  #respond;
  #born = Date.now();
  #sequence = 0;
  #server;
  #timer;
  #nextHost = 0;
  #heartbeatAddress;

  /**
   * @param options.respond runs a request and writes the answer's status line and
   *   body; by default a short text after `workMs`
   */
  constructor(options) {
    const { hosts, id, ip, record, service, workMs = 20, zone } = options;
    const { respond, version = "v1" } = options;
    this.id = id;
    this.zone = zone;
    this.#hosts = hosts;
    this.#ip = ip;
    this.#record = record;
    this.#service = service;
    this.#workMs = workMs;
    this.#respond = respond ?? ((run, response) => this.#answer(run, response));
    this.#version = version;
  }

  /** Listens and registers; resolves when it is acknowledged. */
  async start() {
    this.#server = http.createServer((request, response) =>
      void this.#handle(request, response)
    );
    await new Promise((resolve) => this.#server.listen(0, this.#ip, resolve));
    const until = performance.now() + 30_000;
    while (!await this.heartbeat()) {
      if (performance.now() > until) throw new Error(`${this.id}: no ack`);
    }
    this.#timer = setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
    return this;
  }

  /** Control address of the leader, as the last acknowledgement named it. */
  get leaderAddress() {
    return this.#heartbeatAddress;
  }

  /** Sends one heartbeat; resolves to whether it is acknowledged. */
  async heartbeat() {
    this.#sequence += 1;
    const { port } = this.#server.address();
    const body = JSON.stringify({
      service: this.#service,
      address: `${this.#ip}:${port}`,
      zone: this.zone,
      version: this.#version,
      slots: 64,
      state: "ready",
      cold_left_ms: 0,
      born: this.#born,
      seq: this.#sequence,
    });
    const hosts = this.#hosts();
    const addresses = hosts.map(({ addresses }) => addresses.control);
    const address = this.#heartbeatAddress ??
      addresses[this.#nextHost % addresses.length];
    try {
      const { status, text } = await calls.send(
        address,
        "PUT",
        `/instances/${this.id}`,
        {
          body,
          headers: { "content-type": "application/json" },
          timeoutMs: ACKNOWLEDGEMENT_MS,
        },
      );
      if (status >= 200 && status < 300) {
        this.#heartbeatAddress = JSON.parse(text).heartbeat_addr;
        return true;
      }
    } catch {
      // The next heartbeat goes to the next host.
    }
    this.#heartbeatAddress = undefined;
    this.#nextHost += 1;
    return false;
  }

  /**
   * Leaves without having reported `draining`: it sends no heartbeat any more,
   * is gone as far as the system was told, and serves on for a time.
   */
  async leave(host) {
    clearInterval(this.#timer);
    this.isLeaving = true;
    const { status } = await calls.send(
      host.addresses.control,
      "DELETE",
      `/instances/${this.id}`,
      { timeoutMs: ACKNOWLEDGEMENT_MS },
    );
    return status;
  }

  async stop() {
    clearInterval(this.#timer);
    const server = this.#server;
    this.#server = undefined;
    if (server === undefined) return;
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }

  async #handle(request, response) {
    request.resume();
    response.setHeader("Instance-Id", this.id);
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
    if (request.url === "/health") {
      response.writeHead(this.isLeaving ? 503 : 200).end();
      return;
    }
    const id = request.headers["request-id"] ?? "";
    response.setHeader("Request-Id", id);
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "not-executed": "1" }).end();
      return;
    }
    const run = { id, at: performance.now(), headers: request.headers };
    this.runs.push(run);
    this.#record(`${this.id} in ${this.zone} runs ${id}`);
    await this.#respond(run, response);
  }

  async #answer({ id }, response) {
    await calls.sleep(this.#workMs);
    response.writeHead(200, { "response-seal": `seal-${id}` });
    response.end(`answer to ${id}`);
  }
}
