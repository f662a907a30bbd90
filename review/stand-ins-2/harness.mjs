/**
 * Starts the project's own programs as separate processes on loopback addresses,
 * with stand-ins for runners, clients and the operator that follow the users'
 * pages. It needs nothing but Node.js and the programs of the deploy file.
 */
// deno-lint-ignore-file camelcase -- field names of the settings file
import { Buffer } from "node:buffer";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as timers from "node:timers/promises";
import * as url from "node:url";

const REPOSITORY = url.fileURLToPath(new URL("../..", import.meta.url));
/** The options of the deploy file. */
const NODE_OPTIONS = ["--max-old-space-size=200", "--max-semi-space-size=4"];
const SECRET = "change-this-secret";
const HEARTBEAT_MS = 1_200;
/** A script runs for 120 s at most; this is its own limit. */
const LIMIT_MS = 110_000;

export const IS_TROUBLED = process.env.TROUBLE !== "0";
export const sleep = (ms) => timers.setTimeout(ms);
const startedAt = performance.now();

/** The record of a run: what was sent, answered and run. */
export class Record {
  #lines = [];
  #file;

  constructor(folder) {
    this.#file = path.join(folder, "record.txt");
  }

  write(line) {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${at} ${line}`);
  }

  save() {
    fs.writeFileSync(this.#file, this.#lines.join("\n") + "\n");
  }
}

function freePorts(count) {
  const servers = Array.from({ length: count }, () => net.createServer());
  return Promise.all(servers.map((server) =>
    new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, "127.0.0.1", () => resolve(server.address().port));
    })
  )).then(async (ports) => {
    await Promise.all(
      servers.map((server) => new Promise((done) => server.close(done))),
    );
    return ports;
  });
}

/** Sends one HTTP request; rejects if it gets no answer. */
export function call(address, method, target, options = {}) {
  const { body, headers = {}, timeoutMs = 1_000 } = options;
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const request = http.request({
      agent: false,
      host,
      port,
      method,
      path: target,
      headers: {
        ...headers,
        ...(body === undefined
          ? {}
          : { "content-length": Buffer.byteLength(body) }),
      },
    }, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", reject);
      response.on("end", () => {
        clearTimeout(timer);
        resolve({
          status: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
        });
      });
    });
    const timer = setTimeout(
      () => request.destroy(new Error("no answer in time")),
      timeoutMs,
    );
    request.on("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    request.end(body);
  });
}

/** A small deployment: core and front machines, one process each. */
export class Fleet {
  core = [];
  front = [];
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-2-"));
  #ports;
  #subnet = 1 + process.pid % 250;
  #settings;
  #listIndex = 0;
  record;

  constructor(record, settings = {}) {
    this.record = record;
    this.#settings = settings;
  }

  async start(core, front) {
    const [control, callers, ready, internal] = await freePorts(4);
    this.#ports = { control, callers, ready, internal };
    for (let index = 1; index <= core; index += 1) {
      this.core.push(this.#machine("core", index));
    }
    for (let index = 1; index <= front; index += 1) {
      this.front.push(this.#machine("front", index));
    }
    for (const machine of [...this.core, ...this.front]) {
      this.startProcess(machine, true);
    }
  }

  #machine(kind, index) {
    const ip = `127.${this.#subnet}.${kind === "core" ? 1 : 2}.${index}`;
    return { kind, name: `${kind}-a-${index}`, ip, ends: [], lines: [] };
  }

  address({ ip }, listener) {
    return `${ip}:${this.#ports[listener]}`;
  }

  get controlAddresses() {
    return this.core.map((machine) => this.address(machine, "control"));
  }

  /** Writes the settings file and starts the process of a machine. */
  startProcess(machine, isFirstStart) {
    const { ip, kind, name } = machine;
    const file = path.join(this.#folder, `${name}.conf`);
    fs.writeFileSync(file, this.#settingsOf(machine, isFirstStart));
    const program = kind === "core" ? "control" : "entry";
    const child = childProcess.spawn("node", [
      ...NODE_OPTIONS,
      `target/ebonypath-${program}.cjs`,
    ], {
      cwd: REPOSITORY,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        EBONYPATH_NODE_FILE: file,
        EBONYPATH_FLEET_SECRET: SECRET,
      },
    });
    machine.child = child;
    machine.isRunning = true;
    const collect = (part) => {
      machine.lines.push(...part.toString().split("\n"));
      if (machine.lines.length > 20_000) machine.lines.splice(0, 10_000);
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    machine.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        machine.isRunning = false;
        machine.ends.push({ code, signal });
        this.record.write(`end ${name} code=${code} signal=${signal} ip=${ip}`);
        resolve({ code, signal });
      })
    );
    this.record.write(`start ${name} pid=${child.pid} ip=${ip}`);
  }

  #settingsOf(machine, isFirstStart) {
    const { ip, kind, name } = machine;
    const isCore = kind === "core";
    const { control, callers, ready, internal } = this.#ports;
    const seeds = this.core.slice(0, 3).map(({ ip }) => `${ip}:${control}`);
    const fields = {
      node_name: name,
      role: isCore ? "control" : "entry",
      machine_class: kind,
      serves: isCore ? "control" : "front",
      ip,
      zone: "zone-a",
      region: "region-1",
      "zones.zone-a": "region-1",
      ...(isCore ? { "listen_addrs.control": `${ip}:${control}` } : {
        "listen_addrs.front": `${ip}:${callers}`,
        "listen_addrs.ready": `${ip}:${ready}`,
      }),
      internal_ports: `${internal},${internal + 15}`,
      seeds: seeds.join(","),
      bootstrap: String(isFirstStart),
      in_failure_budget: String(isCore),
      ...(isCore ? { data_dir: path.join(this.#folder, `${name}-data`) } : {}),
      "limits.cpu_share": isCore ? "0.81" : "0.675",
      "limits.cores": isCore ? "2" : "1",
      "limits.memory_mb": isCore ? "346" : "350",
      "limits.max_fds": isCore ? "4096" : "4100",
      "limits.link_mbps": "1000.0",
      "limits.disk_mb": isCore ? "128" : "0",
      discovery: "registration",
      entry: "vip",
      heartbeat_ms: String(HEARTBEAT_MS),
      contracts:
        "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants," +
        "quota,places",
      "fault_tolerance.machines": String((this.core.length - 1) / 2),
      "fault_tolerance.zones": "0",
      "fault_tolerance.regions": "0",
      "bounds.seed_lag_s": "3",
      "bounds.addr_reuse_s": "2",
      "bounds.contact_ms": "3000",
      "bounds.ack_ms": "4000",
      "bounds.catch_up_s": "4",
      "bounds.drain_ms": "2000",
      "bounds.grace_s": "8",
      "bounds.loss_slack_ms": "200",
      "bounds.config_apply_ms": "2000",
      "bounds.rollback_slack_ms": "250",
      "bounds.max_stretch_ms": "5000",
      "bounds.fail_closed": "false",
      "bounds.revoke_ms": "5000",
      "bounds.retry_budget_ratio": "0.2",
      "bounds.budget_window_s": "10",
      "bounds.retry_slack": "54",
      "bounds.quota_window_s": "8",
      "bounds.quota_overage": "0.1",
      "bounds.quota_slack": "11000",
      "bounds.cold_overage": "1.5",
      "bounds.cold_slack": "5",
      "bounds.evacuate_ms": "5000",
      "bounds.recover_s": "12",
      "bounds.pass_ms": "120",
      "bounds.retry_after_s": "0",
      "bounds.enforce_fencing": "false",
      "bounds.lease_ms": "3000",
      "bounds.thaw_slack_ms": "300",
      "bounds.ceiling_window_s": "5",
      "bounds.ceiling_overage": "1.1",
      config_mode: "highest",
      ...this.#settings,
    };
    return Object.entries(fields).map(([key, value]) => `${key}=${value}\n`)
      .join("");
  }

  /** Sends an order of the operator until it gets a clear answer. */
  async operate(method, target, body, limitMs = 20_000) {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
      this.#listIndex += 1;
      const addresses = this.controlAddresses;
      const address = addresses[this.#listIndex % addresses.length];
      const answer = await call(address, method, target, { body })
        .catch(() => undefined);
      if (answer !== undefined && answer.status < 500) {
        this.record.write(`operator ${method} ${target} ${answer.status}`);
        return answer;
      }
      await sleep(100);
    }
    throw new Error(`${method} ${target} got no clear answer`);
  }

  /** Waits until the machines that serve clients say that they are ready. */
  async waitUntilReady(machines = this.front, limitMs = 30_000) {
    const until = performance.now() + limitMs;
    for (const machine of machines) {
      while (true) {
        const answer = await call(
          this.address(machine, "ready"),
          "GET",
          "/readiness",
        ).catch(() => undefined);
        if (answer?.status === 200) break;
        if (performance.now() > until) throw new Error("not ready in time");
        await sleep(50);
      }
    }
    this.record.write(`ready ${machines.map(({ name }) => name).join(",")}`);
  }

  /** Ends all processes that this started. */
  async stop() {
    const running = [...this.core, ...this.front].filter((one) =>
      one.isRunning
    );
    for (const { child } of running) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await Promise.all(running.map(({ exited }) => exited));
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** A runner that announces itself and answers as its owner says. */
export class Runner {
  #server;
  #sockets = new Set();
  #sequence = 0;
  #timer;
  #heartbeatAddress;
  #beats = Promise.resolve();
  born = Date.now();
  state = "ready";
  address;
  options;
  /** Names of the models that it holds. */
  models;
  /** Whether it carries out an order, and how many it has accepted. */
  #isBusy = false;
  #orders = 0;

  /**
   * @param options `id`, `service`, `slots`, `models`, `version`,
   * `coldLeftMs()`, `loadMs` (it carries out orders, in this time), and
   * `serve(request, socket)`, which answers a request
   */
  constructor(fleet, options) {
    this.fleet = fleet;
    this.options = options;
    this.models = options.models;
  }

  async start() {
    this.#server = net.createServer((socket) => this.#accept(socket));
    const port = this.address?.split(":")[1] ?? 0;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), "127.0.0.1", resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.born = Date.now();
    this.#sequence = 0;
    await this.beat();
    this.#timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
  }

  /** Sends one heartbeat; resolves when it is acknowledged or given up. */
  beat() {
    const beat = this.#beats.then(() => this.#sendBeat());
    this.#beats = beat.catch(() => undefined);
    return beat;
  }

  async #sendBeat() {
    const { coldLeftMs, id, service, slots = 64, version } = this.options;
    const { models } = this;
    this.#sequence += 1;
    const coldMs = Math.round(coldLeftMs?.() ?? 0);
    const body = JSON.stringify({
      service,
      address: this.address,
      zone: "zone-a",
      version: version ?? "v1",
      slots,
      state: this.state,
      cold_left_ms: coldMs,
      seq: this.#sequence,
      born: this.born,
      ...(models === undefined ? {} : {
        stage: "both",
        models: models.map((name) => ({ name, version: 1, adapters: [] })),
        at_hand: this.#atHand,
      }),
    });
    const addresses = [
      ...(this.#heartbeatAddress === undefined ? [] : [this.#heartbeatAddress]),
      ...this.fleet.controlAddresses,
    ];
    for (let round = 0; round < 5; round += 1) {
      for (const address of addresses) {
        const answer = await call(address, "PUT", `/instances/${id}`, { body })
          .catch(() => undefined);
        if (answer === undefined || answer.status !== 200) continue;
        this.#heartbeatAddress = JSON.parse(answer.text).heartbeat_addr;
        this.fleet.record.write(
          `beat ${id} seq=${this.#sequence} state=${this.state} ` +
            `cold_left_ms=${coldMs} acknowledged`,
        );
        return true;
      }
      await sleep(200);
    }
    return false;
  }

  /** Copies of weights that outlast a restart. */
  get #atHand() {
    const { models } = this.options;
    return { in_memory: [], on_disk: models };
  }

  /** Starts again after a crash, under its id and address, and holds nothing. */
  async restart() {
    this.models = this.options.models && [];
    this.#isBusy = false;
    this.#orders = 0;
    this.#heartbeatAddress = undefined;
    await this.start();
  }

  /** Carries out an order as the pages say; returns the status. */
  #carryOut({ expected, holder, fencing_token: fence, model, op_type: kind }) {
    const { loadMs, models } = this.options;
    if (holder === undefined || fence === undefined) return 400;
    if (loadMs === undefined) return 409;
    if (this.#isBusy) return 409;
    if (expected !== undefined && expected !== this.#orders) return 409;
    const isLoad = kind === "model_load";
    if (!models.includes(model)) return 400;
    if (this.models.includes(model) === isLoad) return 200;
    this.#orders += 1;
    this.#isBusy = true;
    const born = this.born;
    setTimeout(() => {
      if (this.born !== born || !this.#isBusy) return;
      this.#isBusy = false;
      this.models = this.models.filter((one) => one !== model);
      if (isLoad) this.models.push(model);
      void this.beat();
    }, loadMs);
    return 202;
  }

  /** Ends as a process that is killed. */
  crash() {
    clearInterval(this.#timer);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    let buffered = Buffer.alloc(0);
    socket.on("data", (part) => {
      buffered = Buffer.concat([buffered, part]);
      while (true) {
        const request = parseRequest(buffered);
        if (request === undefined) return;
        buffered = buffered.subarray(request.bytes);
        this.#serve(request, socket);
      }
    });
  }

  #serve(request, socket) {
    const { headers, method, path } = request;
    const expected = headers["expect-instance"];
    const { id } = this.options;
    const { models = [] } = this;
    if (expected !== undefined && expected !== id) {
      return reply(socket, request, 421, "Misdirected Request", "", {
        "Instance-Id": id,
      });
    }
    if (method === "GET" && path === "/report") {
      const body = JSON.stringify({
        stage: "both",
        models: models.map((name) => ({ name, version: 1, adapters: [] })),
        busy: this.#isBusy,
        seq: this.#orders,
        queued: 0,
        running: 0,
        kv_used: 0,
        kv_total: 100_000,
        handles: 0,
        state: this.state,
        at_hand: this.#atHand,
        pending: [],
      });
      return reply(socket, request, 200, "OK", body, {
        "Content-Type": "application/json",
      });
    }
    if (path === "/order") {
      const status = this.#carryOut(JSON.parse(request.body.toString()));
      this.fleet.record.write(
        `runner ${id} order ${request.body.toString().slice(0, 200)} ${status}`,
      );
      return reply(socket, request, status, "Order", "");
    }
    if (headers["request-id"] === undefined) {
      return reply(socket, request, 400, "Bad Request", "", {
        "Not-Executed": "1",
      });
    }
    this.options.serve(request, socket, this);
  }
}

/** Parses the first request of some bytes; undefined if it is not whole. */
export function parseRequest(bytes) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [line, ...fields] = bytes.toString("latin1", 0, end).split("\r\n");
  const [method, path] = line.split(" ");
  const headers = {};
  for (const field of fields) {
    const colon = field.indexOf(":");
    headers[field.slice(0, colon).toLowerCase()] = field.slice(colon + 1)
      .trim();
  }
  let position = end + 4;
  if (/chunked/i.test(headers["transfer-encoding"] ?? "")) {
    const parts = [];
    while (true) {
      const lineEnd = bytes.indexOf("\r\n", position);
      if (lineEnd < 0) return undefined;
      const size = parseInt(bytes.toString("latin1", position, lineEnd), 16);
      if (bytes.length < lineEnd + 2 + size + 2) return undefined;
      parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
      position = lineEnd + 2 + size + 2;
      if (size === 0) break;
    }
    return {
      method,
      path,
      headers,
      body: Buffer.concat(parts),
      bytes: position,
    };
  }
  const length = Number(headers["content-length"] ?? 0);
  if (bytes.length < position + length) return undefined;
  const body = bytes.subarray(position, position + length);
  return { method, path, headers, body, bytes: position + length };
}

/** Writes a whole response with a length. */
export function reply(socket, request, status, reason, body, headers = {}) {
  if (socket.destroyed) return;
  const id = request.headers["request-id"];
  const lines = [
    `HTTP/1.1 ${status} ${reason}`,
    ...(id === undefined ? [] : [`Request-Id: ${id}`]),
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
    "",
    "",
  ];
  socket.write(lines.join("\r\n") + body);
}

let requestCount = 0;

/** A new id of a client attempt. */
export function newRequestId() {
  requestCount += 1;
  return `${process.pid.toString(16).padStart(8, "0")}${
    requestCount.toString(16).padStart(8, "0")
  }`;
}

/**
 * Sends one request on a connection of its own and reads the answer as the bytes
 * and the end of the connection tell it, by RFC 9112.
 *
 * @returns `status` (0 without an answer), `headers`, `body`, how the connection
 * ended, and whether the answer is complete by its framing
 */
export function send(address, request) {
  const { body, headers, method = "POST", onBody, path, signal } = request;
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port) });
    let bytes = Buffer.alloc(0);
    let seen = 0;
    let isDone = false;
    const finish = (ending) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      socket.destroy();
      resolve({ ...readAnswer(bytes, ending), ending });
    };
    const timer = setTimeout(
      () => finish("given up"),
      Number(headers["Deadline-Ms"] ?? 10_000) + 500,
    );
    signal?.addEventListener("abort", () => finish("closed by the client"));
    socket.setNoDelay(true);
    socket.on("connect", () => {
      const fields = {
        ...headers,
        ...(body === undefined
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
      };
      const lines = [
        `${method} ${path} HTTP/1.1`,
        ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
        "",
        "",
      ];
      socket.write(lines.join("\r\n") + (body ?? ""));
    });
    socket.on("data", (part) => {
      bytes = Buffer.concat([bytes, part]);
      const answer = readAnswer(bytes, "open");
      if (onBody !== undefined && answer.body.length > seen) {
        seen = answer.body.length;
        onBody(answer);
      }
      if (answer.isFramed && answer.isComplete) finish("kept");
    });
    socket.on("end", () => finish("closed"));
    socket.on("error", (error) => finish(`reset (${error.code})`));
    socket.on("close", () => finish("closed"));
  });
}

function readAnswer(bytes, ending) {
  const nothing = {
    status: 0,
    headers: {},
    body: "",
    isFramed: true,
    isComplete: false,
  };
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return nothing;
  const [line, ...fields] = bytes.toString("latin1", 0, end).split("\r\n");
  const status = Number(line.split(" ")[1]);
  const headers = {};
  for (const field of fields) {
    const colon = field.indexOf(":");
    headers[field.slice(0, colon).toLowerCase()] = field.slice(colon + 1)
      .trim();
  }
  const rest = bytes.subarray(end + 4);
  if (/chunked/i.test(headers["transfer-encoding"] ?? "")) {
    let position = 0;
    const parts = [];
    while (true) {
      const lineEnd = rest.indexOf("\r\n", position);
      if (lineEnd < 0) break;
      const size = parseInt(rest.toString("latin1", position, lineEnd), 16);
      const from = lineEnd + 2;
      parts.push(rest.subarray(from, from + size));
      if (size === 0) {
        const body = Buffer.concat(parts).toString();
        const isComplete = rest.indexOf("\r\n", from) >= 0;
        return { status, headers, body, isFramed: true, isComplete };
      }
      if (rest.length < from + size + 2) break;
      position = from + size + 2;
    }
    const body = Buffer.concat(parts).toString();
    return { status, headers, body, isFramed: true, isComplete: false };
  }
  if (headers["content-length"] !== undefined) {
    const length = Number(headers["content-length"]);
    const body = rest.subarray(0, length).toString();
    const isComplete = rest.length >= length;
    return { status, headers, body, isFramed: true, isComplete };
  }
  // The end of the connection is the end of the body, unless it was reset.
  const isComplete = ending === "closed";
  return {
    status,
    headers,
    body: rest.toString(),
    isFramed: false,
    isComplete,
  };
}

/** Runs a case; exits with 1 if it found the rule broken, 2 if it can't run. */
export async function runCase(folder, run) {
  const record = new Record(folder);
  record.write(IS_TROUBLED ? "with the disruption" : "without the disruption");
  const cleanUps = [];
  let code = 2;
  const limit = setTimeout(() => {
    record.write("the script took too long");
    record.save();
    for (const { child } of started()) child.kill("SIGKILL");
    process.exit(2);
  }, LIMIT_MS);
  let fleet;
  const started = () =>
    fleet === undefined
      ? []
      : [...fleet.core, ...fleet.front].filter((one) => one.isRunning);
  try {
    const result = await run({
      record,
      onCleanUp: (cleanUp) => cleanUps.push(cleanUp),
      createFleet: (settings) => fleet = new Fleet(record, settings),
    });
    record.write(result.isBroken ? "BROKEN" : "held");
    record.write(result.detail);
    console.log(`${result.isBroken ? "BROKEN" : "held"}: ${result.detail}`);
    code = result.isBroken ? 1 : 0;
  } catch (error) {
    record.write(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.stack}`);
  }
  for (const cleanUp of cleanUps) await cleanUp();
  if (fleet !== undefined) {
    if (process.env.LOGS) {
      for (const { lines, name } of [...fleet.core, ...fleet.front]) {
        fs.writeFileSync(`${process.env.LOGS}/${name}.log`, lines.join("\n"));
      }
    }
    await fleet.stop();
  }
  clearTimeout(limit);
  record.save();
  process.exit(code);
}
