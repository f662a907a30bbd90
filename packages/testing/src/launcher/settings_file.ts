import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as path from "node:path";

/** Permissions of files that hold secrets. */
const SECRET_MODE = 0o600;
/** Any free port of loopback. */
const ANY_PORT = "127.0.0.1:0";
/** Random bytes of a secret. */
const SECRET_BYTES = 16;

/** Secrets that the hosts of a fleet share. */
export interface FleetSecrets {
  readonly fleet: string;
  readonly joinToken: string;
  readonly operatorToken: string;
}

/** What the settings file of one host says. */
export interface HostSettings {
  readonly name: string;
  readonly failureDomain: string;
  readonly isControl: boolean;
  /** Listeners; any free port of 127.0.0.1 by default. */
  readonly callers?: string;
  readonly backends?: string;
  readonly operators?: string;
  /** Where the host listens for other hosts. */
  readonly fleet: string;
  /** Address under which other hosts reach it. */
  readonly fleetAdvertised: string;
  /** IP address that links to other hosts are opened from. */
  readonly fleetSource?: string;
  readonly controlHosts: readonly string[];
  readonly initialVoters: readonly string[];
  /** Values of the table `limits`. */
  readonly limits: Readonly<Record<string, number>>;
}

/** Writes the secrets that all hosts share. */
export async function writeSecrets(folder: string): Promise<FleetSecrets> {
  const secrets: FleetSecrets = {
    fleet: randomSecret(),
    joinToken: randomSecret(),
    operatorToken: randomSecret(),
  };
  await writeSecret(folder, "fleet.secret", secrets.fleet);
  await writeSecret(folder, "join.secret", secrets.joinToken);
  await writeSecret(folder, "admin.secret", secrets.operatorToken);
  return secrets;
}

/** Writes the settings file of one host and returns its path. */
export async function writeSettings(
  folder: string,
  host: HostSettings,
): Promise<string> {
  const file = path.join(folder, `${host.name}.toml`);
  await fs.writeFile(file, renderSettings(host));
  return file;
}

function renderSettings(host: HostSettings): string {
  const roles = host.isControl ? ["entry", "control"] : ["entry"];
  const limits = Object.entries(host.limits)
    .map(([name, value]) => `${name} = ${value}`);
  return [
    "[host]",
    `name = "${host.name}"`,
    `failure_domain = "${host.failureDomain}"`,
    `roles = ${JSON.stringify(roles)}`,
    ...host.isControl ? [`data_folder = "data/${host.name}"`] : [],
    "[listen]",
    `callers = "${host.callers ?? ANY_PORT}"`,
    `backends = "${host.backends ?? ANY_PORT}"`,
    `operators = "${host.operators ?? ANY_PORT}"`,
    `fleet = "${host.fleet}"`,
    `fleet_advertised = "${host.fleetAdvertised}"`,
    ...host.fleetSource === undefined
      ? []
      : [`fleet_source = "${host.fleetSource}"`],
    "[control]",
    `hosts = ${JSON.stringify(host.controlHosts)}`,
    ...host.isControl
      ? [`initial_voters = ${JSON.stringify(host.initialVoters)}`]
      : [],
    "[secrets]",
    'fleet_file = "fleet.secret"',
    'join_token_file = "join.secret"',
    "[[operators]]",
    'name = "admin"',
    'token_file = "admin.secret"',
    'rights = ["read", "publish", "operate"]',
    "[backends]",
    'allowed_addresses = ["127.0.0.0/8"]',
    "[limits]",
    ...limits,
    "",
  ].join("\n");
}

function randomSecret(): string {
  return crypto.randomBytes(SECRET_BYTES).toString("hex");
}

async function writeSecret(
  folder: string,
  name: string,
  value: string,
): Promise<void> {
  const file = path.join(folder, name);
  await fs.writeFile(file, `${value}\n`, { mode: SECRET_MODE });
}
