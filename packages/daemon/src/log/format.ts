/**
 * The fields of a log line. Anything may be thrown, so a field takes any value:
 * an error is written as its message, another object as its kind alone.
 */
export type Fields = Readonly<Record<string, unknown>>;

/** Longest value that is written, in characters. */
const VALUE_LENGTH = 1_000;
/** Names whose values are never written. */
const SECRET_NAME =
  /^(authorization|cookie|key|.*(secret|token|password|apikey|api_key|bearerkey))$/i;
/** Keys that Ebonypath grants, wherever they stand in a value. */
const GRANTED_KEY = /\bep_[A-Za-z0-9_-]{8,}/g;
const BEARER = /\bBearer\s+\S+/gi;
const REMOVED = "[removed]";

/**
 * Formats an event as `event=NAME key=value …`. Values with spaces, quotes or
 * control characters are quoted, fields without a value are left out, and
 * secrets are replaced.
 *
 * @example
 * ```ts
 * formatLine("listen", { listener: "callers", port: 7000 });
 * // event=listen listener=callers port=7000
 * ```
 */
export function formatLine(event: string, fields: Fields): string {
  let line = `event=${formatValue(event)}`;
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    const text = SECRET_NAME.test(name) ? REMOVED : formatValue(value);
    line += ` ${name}=${text}`;
  }
  return line;
}

function formatValue(value: unknown): string {
  const clean = textOf(value).slice(0, VALUE_LENGTH)
    .replace(GRANTED_KEY, REMOVED)
    .replace(BEARER, `Bearer ${REMOVED}`);
  return isPlain(clean) ? clean : JSON.stringify(clean);
}

/** The members of an object are not written: they may be secret. */
function textOf(value: unknown): string {
  if (value instanceof Error) return value.message;
  const isObject = typeof value === "object" && value !== null;
  return isObject ? Object.prototype.toString.call(value) : String(value);
}

function isPlain(text: string): boolean {
  return /^[\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]+$/.test(text);
}
