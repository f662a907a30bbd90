/** One problem of a file that a person wrote. */
export interface Finding {
  /** The file as it was named by the reader. */
  readonly file: string;
  /** Where in the file, for instance `listen.callers` or `line 4`. */
  readonly path: string;
  /** What is wrong. */
  readonly reason: string;
  /** What the reader can do about it. */
  readonly hint: string;
}

/**
 * Renders a finding as one line.
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

/** An error that lists every problem found in the files of one kind. */
export class FileError extends Error {
  override readonly name: string = "FileError";
  readonly findings: readonly Finding[];

  constructor(findings: readonly Finding[]) {
    super(findings.map(renderFinding).join("\n"));
    this.findings = findings;
  }
}
