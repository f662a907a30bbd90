import * as fs from "node:fs/promises";
import * as tls from "node:tls";
import type * as protocol from "@ebonypath/protocol";
import * as modes from "./mode.ts";

/** TLS material of one listener, in PEM. */
export interface Certificate {
  readonly certificate: string;
  readonly key: string;
  /** CA that, if set, must have signed the certificate each client presents. */
  readonly authority: string | undefined;
}

/** Name of a listener that can use TLS. */
export type ListenerName = "callers" | "backends" | "operators" | "fleet";

const LISTENERS: readonly ListenerName[] = [
  "callers",
  "backends",
  "operators",
  "fleet",
];

/** Where the problems of a listener's TLS files are recorded. */
interface FindingContext {
  readonly settingsFile: string;
  readonly listener: ListenerName;
  readonly findings: protocol.toml.Finding[];
}

/**
 * Reads the certificates and keys of all listeners, and checks that each key
 * matches its certificate. Appends problems to `findings`.
 *
 * @example
 * ```ts
 * const certificates = await loadCertificates(settings.tls, file, findings);
 * ```
 */
export async function loadCertificates(
  files: protocol.settings.Tls,
  settingsFile: string,
  findings: protocol.toml.Finding[],
): Promise<Map<ListenerName, Certificate>> {
  const certificates = new Map<ListenerName, Certificate>();
  for (const listener of LISTENERS) {
    const paths = files[listener];
    if (paths === undefined) continue;
    const context = { settingsFile, listener, findings };
    const findingsBefore = findings.length;
    const certificate = {
      certificate: await readPem(
        paths.certificateFile,
        "certificate_file",
        context,
      ),
      key: await readKey(paths.keyFile, context),
      authority: paths.caFile === undefined
        ? undefined
        : await readPem(paths.caFile, "ca_file", context),
    };
    if (findings.length === findingsBefore) {
      checkKeyPair(certificate, paths.keyFile, context);
    }
    certificates.set(listener, certificate);
  }
  return certificates;
}

async function readKey(name: string, context: FindingContext): Promise<string> {
  const reason = await modes.findOpenMode(name);
  if (reason !== undefined) {
    addFinding(context, "key_file", reason, `chmod 600 ${name}`);
  }
  return await readPem(name, "key_file", context);
}

async function readPem(
  name: string,
  setting: string,
  context: FindingContext,
): Promise<string> {
  try {
    return await fs.readFile(name, "utf8");
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    const reason = `${name} can't be read: ${code}`;
    addFinding(context, setting, reason, "name a readable file in PEM");
    return "";
  }
}

/**
 * Checks that a key matches its certificate. With a mismatched pair the
 * listener would fail every connection.
 */
function checkKeyPair(
  { certificate, key, authority }: Certificate,
  keyFile: string,
  context: FindingContext,
): void {
  try {
    tls.createSecureContext({
      cert: certificate,
      key,
      ...(authority === undefined ? {} : { ca: authority }),
    });
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    addFinding(
      context,
      "key_file",
      `${keyFile} is no key of the certificate: ${code ?? "unknown error"}`,
      "put the certificate and its private key there, both in PEM",
    );
  }
}

function addFinding(
  { findings, listener, settingsFile }: FindingContext,
  setting: string,
  reason: string,
  hint: string,
): void {
  const path = `tls.${listener}.${setting}`;
  findings.push({ file: settingsFile, path, reason, hint });
}
