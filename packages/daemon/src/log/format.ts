/**
 * Fields of a log line. Any value can be thrown, so a field accepts any value:
 * an error is written as its message, any other object only as its type tag.
 */
export type Fields = Readonly<Record<string, unknown>>;

/** Length at which a value is truncated, in characters. */
const MAX_VALUE_LENGTH = 1_000;
/** Matches names of fields whose values are redacted. */
const SECRET_FIELD_NAME =
  /^(authorization|cookie|key|.*(secret|token|password|apikey|api_key|bearerkey))$/i;
/** Matches keys granted by Ebonypath, anywhere in a value. */
const GRANTED_KEY = /\bep_[A-Za-z0-9_-]{8,}/g;
const BEARER = /\bBearer\s+\S+/gi;
const REDACTED = "[removed]";

/**
 * Formats an event as `event=NAME key=value …`. Values with spaces, quotes or
 * control characters are quoted, fields with the value `undefined` are omitted,
 * and secrets are redacted.
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
    const text = SECRET_FIELD_NAME.test(name) ? REDACTED : formatValue(value);
    line += ` ${name}=${text}`;
  }
  return line;
}

function formatValue(value: unknown): string {
  const redacted = valueText(value).slice(0, MAX_VALUE_LENGTH)
    .replace(GRANTED_KEY, REDACTED)
    .replace(BEARER, `Bearer ${REDACTED}`);
  return isPlain(redacted) ? redacted : JSON.stringify(redacted);
}

/** Omits the properties of objects, because they may contain secrets. */
function valueText(value: unknown): string {
  if (value instanceof Error) return value.message;
  const isObject = typeof value === "object" && value !== null;
  return isObject ? Object.prototype.toString.call(value) : String(value);
}

function isPlain(text: string): boolean {
  return /^[\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]+$/.test(text);
}
