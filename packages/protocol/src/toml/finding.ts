/** A problem in a settings or service file. */
export interface Finding {
  /** Name of the file, as passed by the caller. */
  readonly file: string;
  /** Location in the file, e.g. `listen.callers` or `line 4, column 1`. */
  readonly path: string;
  /** What is wrong. */
  readonly reason: string;
  /** How to fix it. */
  readonly hint: string;
}

/**
 * Formats a finding as one line.
 *
 * @example
 * ```ts
 * renderFinding({ file: "a.toml", path: "host.name", reason: "is missing", hint: "add it" });
 * // a.toml: host.name: is missing (add it)
 * ```
 */
export function renderFinding(finding: Finding): string {
  return `${finding.file}: ${finding.path}: ${finding.reason} (${finding.hint})`;
}

/** Error with all findings in one or more files of the same kind. */
export class FileError extends Error {
  override readonly name: string = "FileError";
  readonly findings: readonly Finding[];

  constructor(findings: readonly Finding[]) {
    super(findings.map(renderFinding).join("\n"));
    this.findings = findings;
  }
}
