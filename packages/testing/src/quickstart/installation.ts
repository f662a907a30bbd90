import * as path from "node:path";
import * as fakeBackend from "../fake_backend/mod.ts";
import * as freePort from "../free_port.ts";
import * as launcher from "../launcher/mod.ts";
import type * as printer from "./printer.ts";

const HOST = "host-1";
const FAILURE_DOMAIN = "fd-1";
const MEMORY_BYTES = 48 * 10 ** 9;
/** Load time of the fake engine, in milliseconds. */
const LOAD_MS = 800;
/** Time between two tokens of the fake engine, in milliseconds. */
const TOKEN_MS = 40;
const GENERATED_TOKENS = 12;

/** What the tour runs on. */
export interface Installation extends AsyncDisposable {
  readonly root: string;
  readonly host: launcher.FleetHost;
  readonly tokenFile: string;
  readonly engine: fakeBackend.FakeBackend;
  readonly plain: fakeBackend.FakeBackend;
  /** Runs `ebonypath` and returns what it printed. */
  readonly operate: (...args: readonly string[]) => Promise<string>;
}

/**
 * Starts a daemon with a single voter, a fake model engine and a fake plain
 * service.
 *
 * @example
 * ```ts
 * await using installation = await install(root, folder, print);
 * ```
 */
export async function install(
  root: string,
  folder: string,
  print: printer.Printer,
): Promise<Installation> {
  print.step("Start one daemon and two fake backend servers");
  const secrets = await launcher.writeSecrets(folder);
  const host = await createHost(root, folder, secrets);
  const started: AsyncDisposable[] = [host];
  try {
    host.launch();
    await waitUntilReady(host);
    const shared = {
      failureDomain: FAILURE_DOMAIN,
      entries: [host.backends],
      joinToken: secrets.joinToken,
    };
    const engine = await fakeBackend.startFakeBackend({
      ...shared,
      id: "engine-1",
      services: ["advice"],
      memoryBytes: MEMORY_BYTES,
      loadTimes: { storeMs: LOAD_MS },
      tokenMs: TOKEN_MS,
      generatedTokens: GENERATED_TOKENS,
    });
    started.push(engine);
    const plain = await fakeBackend.startFakeBackend({
      ...shared,
      id: "orders-1",
      kind: "plain",
      services: ["orders"],
    });
    started.push(plain);
    print.lines(
      `daemon ${HOST}: callers ${host.callers}, operators ${host.operators}`,
      `engine-1, a model engine: ${engine.address}`,
      `orders-1, a plain service: ${plain.address}`,
    );
    const tokenFile = path.join(folder, "admin.secret");
    const operator = new Operator(root, host.operators, tokenFile);
    started.push(operator);
    return {
      root,
      host,
      tokenFile,
      engine,
      plain,
      operate: (...args) => operator.run(args),
      [Symbol.asyncDispose]: () => disposeAll(started),
    };
  } catch (error) {
    await disposeAll(started);
    throw error;
  }
}

async function createHost(
  root: string,
  folder: string,
  secrets: launcher.FleetSecrets,
): Promise<launcher.FleetHost> {
  const fleet = `127.0.0.1:${await freePort.freePort()}`;
  const settingsFile = await launcher.writeSettings(folder, {
    name: HOST,
    failureDomain: FAILURE_DOMAIN,
    isControl: true,
    fleet,
    fleetAdvertised: fleet,
    controlHosts: [fleet],
    initialVoters: [fleet],
    limits: { "drain_delay_ms": 0 },
  });
  return new launcher.FleetHost({
    name: HOST,
    failureDomain: FAILURE_DOMAIN,
    isControl: true,
    daemonPath: path.join(root, "packages/daemon/dist/src/main.js"),
    settingsFile,
    fleetAddress: fleet,
    operatorToken: secrets.operatorToken,
    env: {},
  });
}

async function waitUntilReady(host: launcher.FleetHost): Promise<void> {
  const { process } = host;
  await process.waitFor("the daemon to be ready", () => {
    const isReady = process.lines.some((line) => /event=ready\b/.test(line));
    return isReady || process.exit !== undefined;
  });
  if (process.exit === undefined) return;
  throw new Error(`the daemon ended:\n${process.tail}`);
}

/** Runs commands; those that still run end with it. */
class Operator implements AsyncDisposable {
  readonly #main: string;
  readonly #options: readonly string[];
  readonly #running = new Set<launcher.Process>();

  constructor(root: string, server: string, tokenFile: string) {
    this.#main = path.join(root, "packages/cli/dist/src/main.js");
    this.#options = ["--server", server, "--token-file", tokenFile];
  }

  async run(args: readonly string[]): Promise<string> {
    await using command = launcher.launch(this.#main, [
      ...args,
      ...this.#options,
    ]);
    this.#running.add(command);
    const { code } = await command.waitForExit();
    this.#running.delete(command);
    const text = command.lines.join("\n");
    if (code !== 0) throw new Error(`ebonypath ended with ${code}:\n${text}`);
    return text;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await disposeAll([...this.#running]);
  }
}

async function disposeAll(started: readonly AsyncDisposable[]): Promise<void> {
  for (const one of [...started].reverse()) await one[Symbol.asyncDispose]();
}
