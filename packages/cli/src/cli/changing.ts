/**
 * What commands that make one small change share.
 *
 * @module
 */
import type * as clients from "../client/mod.ts";
import * as exitCode from "../exit_code.ts";
import * as inForces from "../in_force/mod.ts";
import type * as types from "./types.ts";

/**
 * Makes a change, waits until it is in force and prints both.
 *
 * @param title what was done, for instance `withdrew key k-1`.
 * @example
 * ```ts
 * return changeAndWait(context, request, ["withdrew key k-1"], { id: "k-1" });
 * ```
 */
export async function changeAndWait(
  context: types.Context,
  request: clients.Request,
  title: readonly string[],
  details: Readonly<Record<string, unknown>>,
): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const sentAt = performance.now();
  const { index } = await client.change(request);
  context.output.lines(...title);
  const inForce = await inForces.waitInForce(client, index, sentAt);
  context.output.lines(...inForces.renderInForce(inForce));
  context.output.result({ ...details, index, inForce });
  return inForces.isEverywhere(inForce) ? exitCode.OK : exitCode.UNKNOWN;
}
