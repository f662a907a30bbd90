import * as fs from "node:fs/promises";
import * as protocol from "@ebonypath/protocol";
import * as certificate from "./certificate.ts";
import * as secret from "./secret.ts";

/** An operator with the token that identifies it. */
export interface Operator {
  readonly name: string;
  readonly token: string;
  readonly rights: readonly protocol.settings.Right[];
}

/** Validated settings with the contents of the files that they refer to. */
export interface LoadedSettings {
  readonly settings: protocol.settings.Settings;
  readonly fleetSecret: string;
  readonly joinToken: string | undefined;
  readonly operators: readonly Operator[];
  readonly certificates: ReadonlyMap<
    certificate.ListenerName,
    certificate.Certificate
  >;
}

/**
 * Loads a settings file, its secrets and its certificates.
 *
 * @throws {protocol.settings.SettingsError} if anything is invalid; lists the
 *   problems found.
 * @example
 * ```ts
 * const loaded = await loadSettings("/etc/ebonypath/host.toml");
 * ```
 */
export async function loadSettings(file: string): Promise<LoadedSettings> {
  const text = await readText(file);
  const settings = protocol.settings.parseSettings(text, file);
  const findings: protocol.toml.Finding[] = [];

  const readSecret = async (name: string, settingPath: string) => {
    const result = await secret.readSecret(name, file, settingPath);
    if (result.kind === "value") return result.value;
    findings.push(result.finding);
    return "";
  };

  const { secrets } = settings;
  const fleetSecret = await readSecret(secrets.fleetFile, "secrets.fleet_file");
  const joinToken = secrets.joinTokenFile === undefined
    ? undefined
    : await readSecret(secrets.joinTokenFile, "secrets.join_token_file");
  const operators: Operator[] = [];
  for (
    const [index, { name, tokenFile, rights }] of settings.operators.entries()
  ) {
    const token = await readSecret(tokenFile, `operators[${index}].token_file`);
    operators.push({ name, token, rights });
  }
  findings.push(...findDuplicateTokens(operators, file));
  const certificates = await certificate.loadCertificates(
    settings.tls,
    file,
    findings,
  );
  if (findings.length > 0) {
    throw new protocol.settings.SettingsError(findings);
  }
  return { settings, fleetSecret, joinToken, operators, certificates };
}

async function readText(file: string): Promise<string> {
  try {
    return await fs.readFile(file, "utf8");
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    throw new protocol.settings.SettingsError([{
      file,
      path: "file",
      reason: `can't be read: ${code}`,
      hint: "name an existing file with --settings",
    }]);
  }
}

/** The audit trail identifies operators by token, so tokens must be unique. */
function findDuplicateTokens(
  operators: readonly Operator[],
  file: string,
): protocol.toml.Finding[] {
  const operatorByToken = new Map<string, string>();
  const findings: protocol.toml.Finding[] = [];
  for (const [index, { name, token }] of operators.entries()) {
    const other = operatorByToken.get(token);
    if (other !== undefined && token !== "") {
      findings.push({
        file,
        path: `operators[${index}].token_file`,
        reason: `holds the token of operator ${other}`,
        hint: "give each operator a token of its own",
      });
    }
    operatorByToken.set(token, name);
  }
  return findings;
}
