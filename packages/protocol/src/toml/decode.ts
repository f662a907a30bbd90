import * as toml from "smol-toml";
import * as v from "valibot";
import * as finding from "./finding.ts";

/** Maximum length of a file, in characters. */
export const MAX_FILE_LENGTH = 8 * 1024 * 1024;

/** The decoded value of a file, or all its errors. */
export type Decoded<T> =
  | { readonly kind: "value"; readonly value: T }
  | { readonly kind: "findings"; readonly findings: finding.Finding[] };

type AnySchema = v.GenericSchema<unknown, unknown>;

/**
 * Decodes a TOML file. Converts its snake_case keys to camelCase and validates
 * the result against a schema.
 *
 * @example
 * ```ts
 * const decoded = decode(text, "host.toml", v.strictObject({ dataFolder: v.string() }));
 * ```
 */
export function decode<S extends AnySchema>(
  text: string,
  file: string,
  schema: S,
): Decoded<v.InferOutput<S>> {
  const parsed = parse(text, file);
  if (parsed.kind === "findings") return parsed;
  const findings: finding.Finding[] = [];
  const converted = convertKeys(parsed.value, file, "", findings);
  const result = v.safeParse(schema, converted);
  if (!result.success) {
    findings.push(...result.issues.map((issue) => toFinding(issue, file)));
  }
  if (findings.length > 0) return { kind: "findings", findings };
  return { kind: "value", value: result.output as v.InferOutput<S> };
}

/**
 * Formats a path of schema keys as it is written in the file.
 *
 * @example
 * ```ts
 * renderPath(["control", "initialVoters", 0]); // "control.initial_voters[0]"
 * ```
 */
export function renderPath(keys: readonly (string | number)[]): string {
  let path = "";
  for (const key of keys) {
    if (typeof key === "number") path += `[${key}]`;
    else path += (path === "" ? "" : ".") + toSnakeKey(key);
  }
  return path === "" ? "file" : path;
}

function parse(text: string, file: string): Decoded<unknown> {
  if (text.length > MAX_FILE_LENGTH) {
    const reason = `is larger than ${MAX_FILE_LENGTH} characters`;
    const hint = "split it into smaller files";
    return {
      kind: "findings",
      findings: [{ file, path: "file", reason, hint }],
    };
  }
  try {
    return { kind: "value", value: toml.parse(text) };
  } catch (error) {
    if (!(error instanceof toml.TomlError)) throw error;
    const path = `line ${error.line}, column ${error.column}`;
    const reason = error.message.split("\n")[0] ?? "is not valid TOML";
    const hint = "correct the TOML at this place";
    return { kind: "findings", findings: [{ file, path, reason, hint }] };
  }
}

function convertKeys(
  value: unknown,
  file: string,
  path: string,
  findings: finding.Finding[],
): unknown {
  if (Array.isArray(value)) {
    return value.map((item, index) =>
      convertKeys(item, file, `${path}[${index}]`, findings)
    );
  }
  if (!isTable(value)) return value;
  const entries: [string, unknown][] = [];
  for (const [key, item] of Object.entries(value)) {
    const itemPath = path === "" ? key : `${path}.${key}`;
    if (toSnakeKey(toCamelKey(key)) !== key) {
      findings.push(unknownKeyFinding(file, itemPath, toSnakeKey(key)));
      continue;
    }
    entries.push([
      toCamelKey(key),
      convertKeys(item, file, itemPath, findings),
    ]);
  }
  return Object.fromEntries(entries);
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null &&
    !(value instanceof Date);
}

function toCamelKey(key: string): string {
  return key.replace(/_([a-z0-9])/g, (_, letter) => letter.toUpperCase());
}

function toSnakeKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function unknownKeyFinding(
  file: string,
  path: string,
  suggestion: string,
): finding.Finding {
  const reason = "is not a known key";
  const hint = `keys are written in snake_case, as in ${suggestion}`;
  return { file, path, reason, hint };
}

function toFinding(
  issue: v.BaseIssue<unknown>,
  file: string,
): finding.Finding {
  const keys = (issue.path ?? []).map((item) => item.key as string | number);
  const path = renderPath(keys);
  if (issue.type === "strict_object" && issue.expected === "never") {
    const reason = "is not a known key";
    return { file, path, reason, hint: "remove it, or correct its spelling" };
  }
  if (issue.received === "undefined") {
    return { file, path, reason: "is missing", hint: "add it" };
  }
  if (issue.type === "regex") {
    const reason = `is ${issue.received}, which has the wrong form`;
    return { file, path, reason, hint: `it must match ${issue.expected}` };
  }
  const [reason, hint] = splitCheckMessage(issue);
  return { file, path, reason, hint };
}

/** Splits the message of a schema check, which has the form `reason; hint`. */
function splitCheckMessage(issue: v.BaseIssue<unknown>): [string, string] {
  const [reason, hint] = issue.message.split("; ", 2);
  if (reason !== undefined && hint !== undefined) return [reason, hint];
  const expected = issue.expected ?? "another value";
  return [`is ${issue.received}`, `${expected} is expected`];
}
