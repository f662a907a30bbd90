import * as path from "node:path";
import * as toml from "../toml/mod.ts";
import * as address from "./address.ts";
import * as types from "./types.ts";

/** Error for an invalid settings file, with all findings. */
export class SettingsError extends toml.FileError {
  override readonly name = "SettingsError";
}

/**
 * Parses and validates a settings file. Relative file names in it are resolved
 * against the directory of the settings file.
 *
 * @throws {SettingsError} with all findings, if there are any.
 * @example
 * ```ts
 * const settings = parseSettings(text, "/etc/ebonypath/host.toml");
 * ```
 */
export function parseSettings(text: string, file: string): types.Settings {
  const decoded = toml.decode(text, file, types.Settings);
  if (decoded.kind === "findings") throw new SettingsError(decoded.findings);
  const settings = decoded.value;
  const findings = [
    ...checkRoles(settings),
    ...checkControl(settings),
    ...checkOperators(settings),
  ].map((finding) => ({ file, ...finding }));
  if (findings.length > 0) throw new SettingsError(findings);
  return resolveFiles(settings, path.dirname(file));
}

type SettingsFinding = Omit<toml.Finding, "file">;

function checkRoles(settings: types.Settings): SettingsFinding[] {
  const findings: SettingsFinding[] = [];
  const { host, listen, secrets, backends } = settings;
  if (host.roles.includes("control") && host.dataFolder === undefined) {
    findings.push(missingForRole("host.data_folder", "control"));
  }
  if (!host.roles.includes("entry")) return findings;
  if (listen.callers === undefined) {
    findings.push(missingForRole("listen.callers", "entry"));
  }
  if (listen.backends === undefined) {
    findings.push(missingForRole("listen.backends", "entry"));
  }
  if (secrets.joinTokenFile === undefined) {
    findings.push(missingForRole("secrets.join_token_file", "entry"));
  }
  if (backends === undefined) {
    findings.push(missingForRole("backends.allowed_addresses", "entry"));
  }
  return findings;
}

function missingForRole(key: string, role: types.Role): SettingsFinding {
  const hint = `add it, or take "${role}" out of host.roles`;
  return {
    path: key,
    reason: `is missing, role "${role}" needs it`,
    hint,
  };
}

function checkControl(settings: types.Settings): SettingsFinding[] {
  const findings: SettingsFinding[] = [];
  const { hosts, initialVoters } = settings.control;
  const isControl = settings.host.roles.includes("control");
  if (!isControl && hosts.length === 0) {
    findings.push({
      path: "control.hosts",
      reason: "is empty on a host without the role control",
      hint: "list the fleet addresses of some control hosts",
    });
  }
  if (!isControl && initialVoters.length > 0) {
    findings.push({
      path: "control.initial_voters",
      reason: "is set on a host without the role control",
      hint: 'remove it, or add "control" to host.roles',
    });
  }
  if (!isControl || initialVoters.length === 0) return findings;
  return [...findings, ...checkInitialVoters(settings)];
}

function checkInitialVoters(settings: types.Settings): SettingsFinding[] {
  const findings: SettingsFinding[] = [];
  const { initialVoters } = settings.control;
  const ownAddress = types.fleetAddress(settings.listen);
  const key = "control.initial_voters";
  if (!initialVoters.includes(ownAddress)) {
    findings.push({
      path: key,
      reason: `does not list this host's own address ${ownAddress}`,
      hint: "list the fleet address of every voter of the first formation",
    });
  }
  if (new Set(initialVoters).size !== initialVoters.length) {
    const hint = "list each voter once";
    findings.push({ path: key, reason: "names a voter twice", hint });
  }
  if (initialVoters.length === 1) return findings;
  const unreachable = initialVoters.filter((text) => !isReachable(text));
  for (const text of unreachable) {
    findings.push({
      path: key,
      reason: `${text} can't be reached by other hosts`,
      hint: "give the IP address and a fixed port",
    });
  }
  return findings;
}

function isReachable(text: string): boolean {
  const endpoint = address.parseEndpoint(text);
  if (endpoint === undefined || endpoint.port === 0) return false;
  return endpoint.ip !== "0.0.0.0" && endpoint.ip !== "::";
}

function checkOperators(settings: types.Settings): SettingsFinding[] {
  const findings: SettingsFinding[] = [];
  const names = new Set<string>();
  for (const [index, operator] of settings.operators.entries()) {
    if (names.has(operator.name)) {
      findings.push({
        path: `operators[${index}].name`,
        reason: `"${operator.name}" is used twice`,
        hint: "give each operator a name of its own",
      });
    }
    names.add(operator.name);
  }
  return findings;
}

function resolveFiles(
  settings: types.Settings,
  directory: string,
): types.Settings {
  const resolve = (name: string) => path.resolve(directory, name);
  const { host, secrets } = settings;
  return {
    ...settings,
    host: {
      ...host,
      ...(host.dataFolder === undefined
        ? {}
        : { dataFolder: resolve(host.dataFolder) }),
    },
    secrets: {
      fleetFile: resolve(secrets.fleetFile),
      ...(secrets.joinTokenFile === undefined
        ? {}
        : { joinTokenFile: resolve(secrets.joinTokenFile) }),
    },
    operators: settings.operators.map((operator) => ({
      ...operator,
      tokenFile: resolve(operator.tokenFile),
    })),
    tls: resolveTls(settings.tls, resolve),
  };
}

function resolveTls(
  tls: types.Tls,
  resolve: (name: string) => string,
): types.Tls {
  const entries = Object.entries(tls).map(([listener, files]) => {
    if (files === undefined) return [listener, files];
    const certificateFile = resolve(files.certificateFile);
    const keyFile = resolve(files.keyFile);
    if (files.caFile === undefined) {
      return [listener, { certificateFile, keyFile }];
    }
    const caFile = resolve(files.caFile);
    return [listener, { certificateFile, keyFile, caFile }];
  });
  return Object.fromEntries(entries);
}
