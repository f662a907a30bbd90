/**
 * `ebonypath explain`: where a request would go now, and why.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as exitCode from "../../exit_code.ts";
import * as output from "../../output/mod.ts";
import type * as types from "../types.ts";

const OPTIONS = ["key", "method", "path", "tier", "tokens"] as const;

/** The command. */
export const EXPLAIN: types.Command = {
  usage: "explain <target>",
  description:
    "Tell where a request would go now, and why, without sending it.",
  options: [
    { name: "key", kind: "text", description: "Id of the caller's key" },
    {
      name: "method",
      kind: "text",
      description: "Method at a plain service; GET by default",
    },
    {
      name: "path",
      kind: "text",
      description: "Path at a plain service; / by default",
    },
    {
      name: "tier",
      kind: "text",
      description: "Tier; the first of the service by default",
    },
    {
      name: "tokens",
      kind: "text",
      description: "Tokens that the request reserves",
    },
  ],
  examples: [
    "ebonypath explain advice/last --key k-1 --tokens 900",
    "ebonypath explain orders --key k-1 --method POST --path /orders",
  ],
  run,
};

async function run(context: types.Context): Promise<exitCode.ExitCode> {
  const query = new URLSearchParams({ target: context.args[0] ?? "" });
  for (const name of OPTIONS) {
    const value = context.text(name);
    if (value !== undefined) query.set(name, value);
  }
  const client = await context.client();
  const explanation = await client.read(
    `/v1/explanation?${query}`,
    protocol.operators.Explanation,
  );
  context.output.lines(...render(explanation));
  context.output.result({ ...explanation });
  return exitCode.OK;
}

function render(explanation: protocol.operators.Explanation): string[] {
  const { candidates, host, rate, target, tier, tokens, version, workspace } =
    explanation;
  const heading = ["server", "domain", "free slots", "running", "against it"];
  const rows = candidates.map((candidate) => [
    candidate.server,
    candidate.failureDomain,
    candidate.freeSlots,
    candidate.running,
    candidate.obstacles.join(" ") || "nothing",
  ]);
  return [
    `${target} for ${workspace ?? "anybody"} at host ${host.name}, ` +
    `configuration ${version}`,
    `tier ${tier.name}: must start within ` +
    `${output.renderSeconds(explanation.latestStartMs)}` +
    (tier.delivery === "deferred"
      ? "; accepted at once, and run by a host that the leader chooses"
      : ""),
    rate === null
      ? `${tokens} tokens, under no rate`
      : `${tokens} tokens; ${
        Math.floor(rate.availableTokens)
      } are left here, ` +
        `${Math.floor(rate.tokensPerSecond)} more each second, ` +
        `${rate.tokensAhead} wanted before it, ${rate.burst} at once at most`,
    "",
    ...(rows.length === 0
      ? ["no backend server of this kind is known"]
      : output.renderTable(heading, rows)),
    "",
    renderForecast(explanation.forecast),
  ];
}

function renderForecast(forecast: protocol.operators.StartForecast): string {
  switch (forecast.kind) {
    case "starts":
      return `now: sent to ${forecast.servers.join(" or ")}`;
    case "waits":
      return `now: waits for ${AWAITED[forecast.for]}, ${
        forecast.expectedMs === null
          ? "for a time that is not known"
          : `some ${output.renderSeconds(forecast.expectedMs)}`
      }`;
    case "refused": {
      const { for: reason, retryAfterSeconds, status } = forecast;
      const retry = retryAfterSeconds === null
        ? ""
        : `, to come back after ${retryAfterSeconds.toFixed(1)} s`;
      return `now: refused with ${status} for want of ${
        AWAITED[reason]
      }${retry}`;
    }
    default:
      return protocol.errors.assertNever(forecast);
  }
}

const AWAITED = {
  leader: "a leader",
  tokens: "tokens",
  slot: "a free slot",
  load: "a load of the model",
  burst: "a burst that is large enough",
} as const;
