import type { Buffer } from "node:buffer";
import * as v from "valibot";

/** Average bytes of English text per token, for streams without usage data. */
const BYTES_PER_TOKEN = 4;

const Usage = v.looseObject({
  usage: v.looseObject({
    total_tokens: v.pipe(v.number(), v.integer(), v.minValue(0)),
  }),
});

/**
 * Returns the token usage reported in an answer or an event, if any.
 *
 * @example
 * ```ts
 * reportedTokens('{"usage":{"total_tokens":12}}'); // 12
 * ```
 */
export function reportedTokens(json: string): number | undefined {
  if (!json.includes('"usage"')) return undefined;
  try {
    const parsed = v.safeParse(Usage, JSON.parse(json));
    return parsed.success ? parsed.output.usage.total_tokens : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Estimates the tokens of a stream without usage data, with one token per
 * event.
 *
 * @example
 * ```ts
 * estimateTokens(Buffer.from("12345678"), 10); // 12
 * ```
 */
export function estimateTokens(prompt: Buffer, events: number): number {
  return Math.ceil(prompt.length / BYTES_PER_TOKEN) + events;
}
