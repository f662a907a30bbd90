import * as fs from "node:fs/promises";
import * as tls from "node:tls";
import type * as protocol from "@ebonypath/protocol";
import * as modes from "./mode.ts";

/** TLS material of one listener, in PEM. */
export interface Certificate {
  readonly certificate: string;
  readonly key: string;
  /** When set, clients must show a certificate signed by it. */
  readonly authority: string | undefined;
}

/** A listener that may speak TLS. */
export type ListenerName = "callers" | "backends" | "operators" | "fleet";

const LISTENERS: readonly ListenerName[] = [
  "callers",
  "backends",
  "operators",
  "fleet",
];

/** Where a problem of a file is reported. */
interface Report {
  readonly settingsFile: string;
  readonly listener: ListenerName;
  readonly findings: protocol.toml.Finding[];
}

/**
 * Reads the certificates and keys of all listeners, and checks that each key
 * belongs to its certificate. Problems are added to `findings`.
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
    const named = files[listener];
    if (named === undefined) continue;
    const report = { settingsFile, listener, findings };
    const before = findings.length;
    const certificate = {
      certificate: await read(
        named.certificateFile,
        "certificate_file",
        report,
      ),
      key: await readKey(named.keyFile, report),
      authority: named.caFile === undefined
        ? undefined
        : await read(named.caFile, "ca_file", report),
    };
    if (findings.length === before) check(certificate, named.keyFile, report);
    certificates.set(listener, certificate);
  }
  return certificates;
}

async function readKey(name: string, report: Report): Promise<string> {
  const reason = await modes.findOpenMode(name);
  if (reason !== undefined) {
    add(report, "key_file", reason, `chmod 600 ${name}`);
  }
  return await read(name, "key_file", report);
}

async function read(
  name: string,
  setting: string,
  report: Report,
): Promise<string> {
  try {
    return await fs.readFile(name, "utf8");
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    const reason = `${name} can't be read: ${code}`;
    add(report, setting, reason, "name a readable file in PEM");
    return "";
  }
}

/** A listener that took a bad pair would fail every connection. */
function check(
  { certificate, key, authority }: Certificate,
  keyFile: string,
  report: Report,
): void {
  try {
    tls.createSecureContext({
      cert: certificate,
      key,
      ...(authority === undefined ? {} : { ca: authority }),
    });
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    add(
      report,
      "key_file",
      `${keyFile} is no key of the certificate: ${code ?? "unknown error"}`,
      "put the certificate and its private key there, both in PEM",
    );
  }
}

function add(
  { findings, listener, settingsFile }: Report,
  setting: string,
  reason: string,
  hint: string,
): void {
  const path = `tls.${listener}.${setting}`;
  findings.push({ file: settingsFile, path, reason, hint });
}
