/**
 * Finding and reading of service files.
 *
 * @module
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as protocol from "@ebonypath/protocol";

/** Most service files of one publishing. */
const MAX_FILES = 10_000;
/** Deepest folder below the given one that is searched. */
const MAX_DEPTH = 32;

const SKIPPED_FOLDERS: ReadonlySet<string> = new Set(["node_modules"]);

/** The service files of some folders and what they say together. */
export interface ServiceFiles {
  /** Paths as they are shown, sorted. */
  readonly files: readonly string[];
  readonly configuration: protocol.configuration.Configuration;
}

/**
 * Finds, reads, checks and merges all service files below some folders.
 *
 * @throws {protocol.serviceFile.ServiceFileError} with every problem found.
 * @example
 * ```ts
 * const { configuration } = await gather(["services"]);
 * ```
 */
export async function gather(
  folders: readonly string[],
): Promise<ServiceFiles> {
  const files = new Set<string>();
  for (const folder of folders) await find(folder, 0, files);
  const sorted = [...files].sort();
  if (sorted.length === 0) {
    const name = protocol.serviceFile.SERVICE_FILE_NAME;
    throw fault(folders.join(", "), `holds no ${name}`, "name another folder");
  }
  const parsed = [];
  const findings: protocol.toml.Finding[] = [];
  for (const file of sorted) {
    try {
      const text = await fs.readFile(file, "utf8");
      parsed.push(protocol.serviceFile.parseServiceFile(text, file));
    } catch (error) {
      findings.push(...toFindings(error, file));
    }
  }
  if (findings.length > 0) {
    throw new protocol.serviceFile.ServiceFileError(findings);
  }
  const configuration = protocol.serviceFile.mergeServiceFiles(parsed);
  return { files: sorted, configuration };
}

async function find(
  folder: string,
  depth: number,
  found: Set<string>,
): Promise<void> {
  if (depth > MAX_DEPTH) {
    throw fault(folder, "is nested too deeply", "name a folder below it");
  }
  for (const entry of await list(folder)) {
    const name = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      const isSkipped = entry.name.startsWith(".") ||
        SKIPPED_FOLDERS.has(entry.name);
      if (!isSkipped) await find(name, depth + 1, found);
    } else if (entry.name === protocol.serviceFile.SERVICE_FILE_NAME) {
      found.add(path.normalize(name));
    }
    if (found.size > MAX_FILES) {
      throw fault(folder, `holds over ${MAX_FILES} files`, "name a part of it");
    }
  }
}

async function list(folder: string) {
  try {
    return await fs.readdir(folder, { withFileTypes: true });
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    throw fault(folder, `can't be read: ${code}`, "name an existing folder");
  }
}

function fault(
  file: string,
  reason: string,
  hint: string,
): protocol.serviceFile.ServiceFileError {
  const finding = { file, path: "file", reason, hint };
  return new protocol.serviceFile.ServiceFileError([finding]);
}

function toFindings(error: unknown, file: string): protocol.toml.Finding[] {
  if (error instanceof protocol.toml.FileError) return [...error.findings];
  const code = (error as NodeJS.ErrnoException).code;
  if (code === undefined) throw error;
  const reason = `can't be read: ${code}`;
  return [{ file, path: "file", reason, hint: "make it readable" }];
}
