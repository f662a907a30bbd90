import * as path from "node:path";
import * as toml from "../toml/mod.ts";
import * as address from "./address.ts";
import * as types from "./types.ts";

/** The settings file is not usable; lists every problem that was found. */
export class SettingsError extends toml.FileError {
  override readonly name = "SettingsError";
}

/**
 * Parses and checks a settings file. Files that it names are given back
 * relative to the folder of the settings file.
 *
 * @throws {SettingsError} with every problem found, if there is any.
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
  ].map((problem) => ({ file, ...problem }));
  if (findings.length > 0) throw new SettingsError(findings);
  return resolveFiles(settings, path.dirname(file));
}

type Problem = Omit<toml.Finding, "file">;

function checkRoles(settings: types.Settings): Problem[] {
  const problems: Problem[] = [];
  const { host, listen, secrets, backends } = settings;
  if (host.roles.includes("control") && host.dataFolder === undefined) {
    problems.push(missing("host.data_folder", "control"));
  }
  if (!host.roles.includes("entry")) return problems;
  if (listen.callers === undefined) {
    problems.push(missing("listen.callers", "entry"));
  }
  if (listen.backends === undefined) {
    problems.push(missing("listen.backends", "entry"));
  }
  if (secrets.joinTokenFile === undefined) {
    problems.push(missing("secrets.join_token_file", "entry"));
  }
  if (backends === undefined) {
    problems.push(missing("backends.allowed_addresses", "entry"));
  }
  return problems;
}

function missing(where: string, role: types.Role): Problem {
  const hint = `add it, or take "${role}" out of host.roles`;
  return { path: where, reason: `is missing, role "${role}" needs it`, hint };
}

function checkControl(settings: types.Settings): Problem[] {
  const problems: Problem[] = [];
  const { hosts, initialVoters } = settings.control;
  const isControl = settings.host.roles.includes("control");
  if (!isControl && hosts.length === 0) {
    problems.push({
      path: "control.hosts",
      reason: "is empty on a host without the role control",
      hint: "list the fleet addresses of some control hosts",
    });
  }
  if (!isControl && initialVoters.length > 0) {
    problems.push({
      path: "control.initial_voters",
      reason: "is set on a host without the role control",
      hint: 'remove it, or add "control" to host.roles',
    });
  }
  if (!isControl || initialVoters.length === 0) return problems;
  return [...problems, ...checkInitialVoters(settings)];
}

function checkInitialVoters(settings: types.Settings): Problem[] {
  const problems: Problem[] = [];
  const { initialVoters } = settings.control;
  const own = types.fleetAddress(settings.listen);
  const where = "control.initial_voters";
  if (!initialVoters.includes(own)) {
    problems.push({
      path: where,
      reason: `does not list this host's own address ${own}`,
      hint: "list the fleet address of every voter of the first formation",
    });
  }
  if (new Set(initialVoters).size !== initialVoters.length) {
    const hint = "list each voter once";
    problems.push({ path: where, reason: "names a voter twice", hint });
  }
  if (initialVoters.length === 1) return problems;
  const unusable = initialVoters.filter((text) => !isReachable(text));
  for (const text of unusable) {
    problems.push({
      path: where,
      reason: `${text} can't be reached by other hosts`,
      hint: "give the IP address and a fixed port",
    });
  }
  return problems;
}

function isReachable(text: string): boolean {
  const endpoint = address.parseEndpoint(text);
  if (endpoint === undefined || endpoint.port === 0) return false;
  return endpoint.ip !== "0.0.0.0" && endpoint.ip !== "::";
}

function checkOperators(settings: types.Settings): Problem[] {
  const problems: Problem[] = [];
  const names = new Set<string>();
  for (const [index, operator] of settings.operators.entries()) {
    if (names.has(operator.name)) {
      problems.push({
        path: `operators[${index}].name`,
        reason: `"${operator.name}" is used twice`,
        hint: "give each operator a name of its own",
      });
    }
    names.add(operator.name);
  }
  return problems;
}

function resolveFiles(
  settings: types.Settings,
  folder: string,
): types.Settings {
  const resolve = (name: string) => path.resolve(folder, name);
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
