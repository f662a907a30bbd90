/**
 * What a request may have in common with others that crash servers, whatever
 * else they hold.
 *
 * @module
 */
import { suspicion } from "@ebonypath/protocol";
import * as security from "../../security/mod.ts";

/** Length of a fingerprint, in hexadecimal digits: 128 bits. */
const FINGERPRINT_LENGTH = 32;
/** Limit of the parts of a prompt that are told apart. */
const MAX_PARTS = suspicion.MAX_ATTRIBUTES - 3;
/** Limit of a name that operators read, in characters. */
const MAX_NAME_LENGTH = 128;

/** The part of a request that others may share. */
export type SharedContent = {
  /** Name of the service; another one runs other software. */
  readonly service: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Ids of the parts of its prompt that others may share, in order. */
  readonly promptParts: readonly string[];
};

/**
 * Lists the attributes of a request. Of those that explain crashes equally well,
 * the first one is the cause: deeper parts of a prompt are shared by fewer
 * requests, and a combination is only the cause if none of its members is.
 *
 * @example
 * ```ts
 * listAttributes({ service, model: "m", adapter: undefined, promptParts: ["5c"] })
 *   .map(({ kind, name }) => `${kind} ${name}`);
 * // ["prompt-part 5c", "model m", "prompt-prefix m 5c"]
 * ```
 */
export function listAttributes(
  { adapter, model, promptParts, service }: SharedContent,
): suspicion.Attribute[] {
  const parts = [...new Set(promptParts.filter((part) => part !== ""))];
  const attributes: suspicion.NamedAttribute[] = parts.slice(0, MAX_PARTS)
    .reverse().map((name) => ({ kind: "prompt-part", name }));
  if (model !== undefined && model !== "") {
    if (adapter !== undefined) {
      attributes.push({ kind: "adapter", name: `${model}/${adapter}` });
    }
    attributes.push({ kind: "model", name: model });
  }
  if (parts.length > 0) {
    const name = `${model ?? ""} ${parts.join(",")}`.trim();
    attributes.push({ kind: "prompt-prefix", name });
  }
  return attributes.map(({ kind, name }) => ({
    fingerprint: fingerprintOf([kind, service, name]),
    kind,
    name: name.slice(0, MAX_NAME_LENGTH),
  }));
}

/**
 * A digest of values that identify a request or what it shares with others.
 *
 * @example
 * ```ts
 * fingerprintOf(["prompt-part", "pool", "5c"]); // "9f86d081884c7d65…"
 * ```
 */
export function fingerprintOf(values: readonly unknown[]): string {
  return security.digest(JSON.stringify(values)).slice(0, FINGERPRINT_LENGTH);
}
