import * as toml from "../toml/mod.ts";
import * as types from "./types.ts";

/** File name of service files. */
export const SERVICE_FILE_NAME = "ebonypath.toml";

/** Error for invalid service files, with all findings. */
export class ServiceFileError extends toml.FileError {
  override readonly name = "ServiceFileError";
}

/** A parsed service file and its name. */
export interface ParsedServiceFile {
  readonly file: string;
  readonly content: types.ServiceFile;
}

/**
 * Parses and validates a service file.
 *
 * @throws {ServiceFileError} with all findings, if there are any.
 * @example
 * ```ts
 * const file = parseServiceFile(text, "advice/ebonypath.toml");
 * ```
 */
export function parseServiceFile(
  text: string,
  file: string,
): ParsedServiceFile {
  const decoded = toml.decode(text, file, types.ServiceFile);
  if (decoded.kind === "findings") throw new ServiceFileError(decoded.findings);
  const content = decoded.value;
  const findings = findMissingSections(content).map((rest) => ({
    file,
    ...rest,
  }));
  if (findings.length > 0) throw new ServiceFileError(findings);
  return { file, content };
}

function findMissingSections(
  content: types.ServiceFile,
): Omit<toml.Finding, "file">[] {
  const { service, models, routes, tiers, workspaces } = content;
  if (service !== undefined) {
    if (tiers.length > 0) return [];
    const hint = "add [[tiers]] with name, max_wait and price_factor";
    return [{ path: "tiers", reason: "is missing", hint }];
  }
  if (models.length + routes.length + tiers.length > 0) {
    const hint = "add [service] with name, kind and workspaces";
    return [{ path: "service", reason: "is missing", hint }];
  }
  if (workspaces.length > 0) return [];
  const hint = "describe a service or workspaces, or delete the file";
  return [{ path: "file", reason: "is empty", hint }];
}
