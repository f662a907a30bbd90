/**
 * Reads the servers that hosts tell one another of.
 *
 * @module
 */
import { gateway } from "@ebonypath/protocol";
import * as v from "valibot";
import * as log from "../log/mod.ts";

const write = log.createLog("records");

/** Most characters of an id that a log line bears. */
const MAX_LOGGED_ID_LENGTH = 64;

/**
 * Leaves out what is no record of a server from the `servers` of a message before
 * the message is read. One malformed record would cost all others otherwise, and
 * the host would no longer follow.
 *
 * @example
 * ```ts
 * const response = v.parse(withSoundServers(gateway.WatchResponse), message);
 * ```
 */
export function withSoundServers<Schema extends v.GenericSchema>(
  schema: Schema,
): v.GenericSchema<unknown, v.InferOutput<Schema>> {
  return v.pipe(v.unknown(), v.transform(dropMalformedServers), schema);
}

function dropMalformedServers(message: unknown): unknown {
  if (typeof message !== "object" || message === null) return message;
  if (!("servers" in message) || !Array.isArray(message.servers)) {
    return message;
  }
  return { ...message, servers: message.servers.filter(isRecord) };
}

function isRecord(record: unknown): boolean {
  const result = v.safeParse(gateway.ServerRecord, record);
  if (result.success) return true;
  const [issue] = result.issues;
  write("server-dropped", {
    server: idOf(record),
    field: v.getDotPath(issue) ?? undefined,
    reason: issue.message,
  });
  return false;
}

function idOf(record: unknown): string | undefined {
  const isNamed = typeof record === "object" && record !== null &&
    "id" in record && typeof record.id === "string";
  return isNamed ? String(record.id).slice(0, MAX_LOGGED_ID_LENGTH) : undefined;
}
