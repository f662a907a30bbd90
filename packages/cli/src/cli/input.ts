/**
 * Checks of arguments and options that commands share.
 *
 * @module
 */
import * as crypto from "node:crypto";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as failure from "../failure.ts";
import type * as types from "./types.ts";

/** The option that lets a change be sent again by a later call. */
export const CHANGE_ID: types.Option = {
  name: "change-id",
  kind: "text",
  description: "Id of the change; a resend under the same id runs once",
};

/**
 * Gives the change id of this call: the one given, or a new one.
 *
 * @example
 * ```ts
 * const changeId = changeIdOf(context);
 * ```
 */
export function changeIdOf(context: types.Context): string {
  const given = context.text(CHANGE_ID.name);
  if (given === undefined) return crypto.randomUUID();
  if (v.is(protocol.operators.ChangeId, given)) return given;
  throw new failure.UsageError(
    `--change-id "${given}" is not an id`,
    "use letters, digits, dot, dash and underscore",
  );
}

/**
 * Parses a whole number from the command line.
 *
 * @example
 * ```ts
 * wholeNumber("41", "version"); // 41
 * ```
 */
export function wholeNumber(text: string, name: string): number {
  const value = Number(text);
  if (/^\d+$/.test(text) && Number.isSafeInteger(value)) return value;
  throw new failure.UsageError(
    `${name} "${text}" is not a whole number`,
    "give a number such as 41",
  );
}

/**
 * Checks a name from the command line.
 *
 * @example
 * ```ts
 * const workspace = nameOf(context.args[0], "workspace");
 * ```
 */
export function nameOf(text: string | undefined, what: string): string {
  if (v.is(protocol.backend.Name, text)) return text;
  throw new failure.UsageError(
    `${what} "${text ?? ""}" is not a name`,
    "use letters, digits, dot, dash and underscore",
  );
}

/**
 * Checks a fleet address from the command line.
 *
 * @example
 * ```ts
 * const address = addressOf(context.args[0]);
 * ```
 */
export function addressOf(text: string | undefined): string {
  const endpoint = protocol.settings.parseEndpoint(text ?? "");
  if (text !== undefined && endpoint !== undefined && endpoint.port > 0) {
    return text;
  }
  throw new failure.UsageError(
    `"${text ?? ""}" is not an address`,
    "give listen.fleet of the host, for instance 10.0.1.10:7001",
  );
}
