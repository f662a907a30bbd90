/**
 * What `publish` and `rollback` share: difference, change and wait.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import type * as clients from "../client/mod.ts";
import * as exitCode from "../exit_code.ts";
import * as failure from "../failure.ts";
import * as inForces from "../in_force/mod.ts";
import * as output from "../output/mod.ts";
import * as input from "./input.ts";
import type * as types from "./types.ts";

const { configuration: configurations } = protocol;

/** Options of both commands. */
export const OPTIONS: readonly types.Option[] = [
  {
    name: "dry-run",
    kind: "switch",
    description: "Show the difference and publish nothing",
  },
  {
    name: "base",
    kind: "text",
    description: "Version that the change is made on; by default the one read",
  },
  input.CHANGE_ID,
];

type Configuration = protocol.configuration.Configuration;
type PublishedVersion = protocol.operators.PublishedVersion;

/**
 * Publishes a configuration over the one in force and waits until every host
 * has it.
 *
 * @example
 * ```ts
 * return publish(context, client, inForce, configuration);
 * ```
 */
export async function publish(
  context: types.Context,
  client: clients.Client,
  inForce: PublishedVersion,
  wanted: Configuration,
): Promise<exitCode.ExitCode> {
  const changeId = input.changeIdOf(context);
  const given = context.text("base");
  const base = given === undefined
    ? inForce.version
    : input.wholeNumber(given, "--base");
  const differences = configurations.diffConfiguration(
    inForce.configuration,
    wanted,
  );
  const out = context.output;
  out.lines(...renderDifferences(differences, inForce.version));
  if (context.isSet("dry-run")) {
    out.result({ version: inForce.version, differences, published: false });
    return exitCode.OK;
  }
  if (differences.length === 0 && given === undefined) {
    out.lines("nothing to publish");
    out.result({ version: inForce.version, differences, published: false });
    return exitCode.OK;
  }
  out.lines(`change ${changeId} on version ${base}`);
  const sentAt = performance.now();
  const body = { base, changeId, configuration: wanted };
  const version = await send(context, client, body, inForce);
  const reached = await inForces.waitInForce(client, version, sentAt);
  out.lines(`published version ${version}`, ...inForces.renderInForce(reached));
  out.result({
    version,
    changeId,
    differences,
    published: true,
    inForce: reached,
  });
  return inForces.isEverywhere(reached) ? exitCode.OK : exitCode.UNKNOWN;
}

function renderDifferences(
  differences: readonly protocol.configuration.Difference[],
  version: number,
): string[] {
  if (differences.length === 0) return [`no difference to version ${version}`];
  const heading = `against version ${version}:`;
  return [heading, ...differences.map(configurations.renderDifference)];
}

async function send(
  context: types.Context,
  client: clients.Client,
  body: protocol.operators.PublishRequest,
  inForce: PublishedVersion,
): Promise<number> {
  try {
    const request = {
      method: "POST",
      path: "/v1/configuration",
      body,
    } as const;
    return (await client.change(request)).index;
  } catch (error) {
    if (error instanceof failure.RefusedError) {
      await showWinner(context, client, error, inForce);
    }
    if (error instanceof failure.OutcomeUnknownError) {
      const options = `--base ${body.base} --change-id ${body.changeId}`;
      throw new failure.OutcomeUnknownError(
        error.message,
        `send it again with ${options}`,
        error,
      );
    }
    throw error;
  }
}

/** Shows what the winner of a race changed since the version that was read. */
async function showWinner(
  context: types.Context,
  client: clients.Client,
  refusal: failure.RefusedError,
  read: PublishedVersion,
): Promise<void> {
  const { winner } = refusal.problem;
  if (winner === undefined) return;
  const current = await client.read(
    `/v1/configuration/${winner.version}`,
    protocol.operators.PublishedVersion,
  );
  const time = output.renderTime(winner.timeMs);
  const differences = configurations.diffConfiguration(
    read.configuration,
    current.configuration,
  );
  context.output.lines(
    `version ${winner.version} by ${winner.operator} at ${time} came first`,
    ...differences.map((difference) =>
      `  ${configurations.renderDifference(difference)}`
    ),
  );
}
