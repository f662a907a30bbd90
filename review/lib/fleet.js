/**
 * Starts the programs of the deploy file on loopback addresses, each with a
 * settings file in the format of the users' deployment page.
 *
 * @module
 */
// deno-lint-ignore-file camelcase -- field names of the settings file
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as url from "node:url";
import * as calls from "./calls.js";

const REPOSITORY = url.fileURLToPath(new URL("../../", import.meta.url));
/** Failure domains of the Hjorth site, in the order in which hosts get them. */
export const ZONES = ["herning-a", "herning-b", "ikast-a", "ikast-b"];
/** Values of the Hjorth site. */
const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  fail_closed: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_slack: 54,
  quota_window_s: 8,
  quota_overage: 0.1,
  quota_slack: 11000,
  cold_overage: 1.5,
  cold_slack: 5,
  evacuate_ms: 5000,
  recover_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  enforce_fencing: false,
  lease_ms: 3000,
  thaw_slack_ms: 300,
  ceiling_window_s: 5,
  ceiling_overage: 1.1,
};
const CONTRACTS =
  "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,places";
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/** A fleet of control and entry hosts, one process each. */
export class Fleet {
  control = [];
  entry = [];
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "ebonypath-review-"));
  #subnet = 1 + process.pid % 250;
  #ports;

  /** Starts all hosts for the first time, with empty disks. */
  static async start(controlCount, entryCount) {
    const fleet = new Fleet();
    const probe = `127.${fleet.#subnet}.1.1`;
    fleet.#ports = [];
    while (fleet.#ports.length < 4) fleet.#ports.push(await freePort(probe));
    for (let index = 0; index < controlCount; index += 1) {
      fleet.control.push(fleet.#createHost("control", index));
    }
    for (let index = 0; index < entryCount; index += 1) {
      fleet.entry.push(fleet.#createHost("entry", index));
    }
    for (const host of [...fleet.control, ...fleet.entry]) {
      fleet.#run(host, true);
    }
    return fleet;
  }

  /** Address of a loopback host that is no host of the fleet. */
  standInIp(index) {
    return `127.${this.#subnet}.3.${index + 1}`;
  }

  /** Starts a host again that has ended, with its disk. */
  restart(host) {
    this.#run(host, false);
  }

  /** Ends a host at once, and resolves when its process is gone. */
  async kill(host) {
    const { child } = host;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }

  /** Waits until all entry hosts are ready. */
  async waitUntilReady(hosts = this.entry) {
    const until = performance.now() + START_TIMEOUT_MS;
    for (const host of hosts) {
      while (!await isReady(host)) {
        if (performance.now() > until) {
          throw new Error(`${host.name}: not ready`);
        }
        await calls.sleep(POLL_MS);
      }
    }
  }

  /** Ends all processes. */
  async stop() {
    const running = [...this.control, ...this.entry].filter(({ child }) =>
      child.exitCode === null && child.signalCode === null
    );
    await Promise.all(running.map((host) => this.kill(host)));
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  #createHost(role, index) {
    const ip = `127.${this.#subnet}.${role === "control" ? 1 : 2}.${index + 1}`;
    const [control, callers, ready] = this.#ports;
    return {
      role,
      name: `${role}-${index + 1}`,
      ip,
      zone: ZONES[index % ZONES.length],
      addresses: {
        control: `${ip}:${control}`,
        callers: `${ip}:${callers}`,
        ready: `${ip}:${ready}`,
      },
      child: undefined,
      log: [],
    };
  }

  #run(host, isFirstStart) {
    const file = path.join(this.#folder, `${host.name}.conf`);
    fs.writeFileSync(file, this.#settings(host, isFirstStart));
    const { env, run } = readRole(host.role);
    const [program, ...programArguments] = run.split(" ");
    const child = childProcess.spawn(program, programArguments, {
      cwd: REPOSITORY,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ...env,
        EBONYPATH_NODE_FILE: file,
      },
    });
    host.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8");
      stream.on("data", (text) => readLog(host, text));
    }
  }

  #settings({ addresses, ip, name, role, zone }, isFirstStart) {
    const fleetPort = this.#ports[3];
    const isControl = role === "control";
    const seeds = this.control.slice(0, 3).map(({ addresses }) =>
      addresses.control
    );
    const fields = {
      node_name: name,
      role,
      machine_class: isControl ? "core" : "front",
      serves: isControl ? "control" : "front",
      ip,
      zone,
      region: "dk-vest",
      ...Object.fromEntries(ZONES.map((one) => [`zones.${one}`, "dk-vest"])),
      ...(isControl
        ? {
          "listen_addrs.control": addresses.control,
          data_dir: path.join(this.#folder, name),
        }
        : {
          "listen_addrs.front": addresses.callers,
          "listen_addrs.ready": addresses.ready,
        }),
      internal_ports: `${fleetPort},${fleetPort}`,
      seeds: seeds.join(","),
      bootstrap: isFirstStart,
      in_failure_budget: isControl,
      "limits.memory_mb": isControl ? 346 : 350,
      discovery: "registration",
      entry: "vip",
      heartbeat_ms: 1200,
      contracts: CONTRACTS,
      "fault_tolerance.machines": 2,
      "fault_tolerance.zones": 1,
      "fault_tolerance.regions": 0,
      ...Object.fromEntries(
        Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value]),
      ),
      config_mode: "highest",
    };
    return Object.entries(fields).map(([key, value]) => `${key}=${value}\n`)
      .join("");
  }
}

/** Command and environment of a role, as the deploy file has them. */
function readRole(role) {
  const text = fs.readFileSync(
    path.join(REPOSITORY, "deploy/system.toml"),
    "utf8",
  );
  const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
  const run = /^run = "(.*)"$/m.exec(section)[1];
  const [, name, value] = /^env = \{ (\w+) = "(.*)" \}$/m.exec(section);
  return { run, env: { [name]: value } };
}

function readLog(host, text) {
  host.log.push(...text.split("\n").filter((line) => line !== ""));
}

async function isReady({ addresses }) {
  const answer = await calls.send(addresses.ready, "GET", "/readiness", {
    timeoutMs: 1_000,
  }).catch(() => undefined);
  return answer?.status === 200;
}

function freePort(ip) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}
