/**
 * `ebonypath audit`: lists and verifies the audit trail.
 *
 * @module
 */
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as clients from "../../client/mod.ts";
import * as exitCode from "../../exit_code.ts";
import * as failure from "../../failure.ts";
import * as output from "../../output/mod.ts";
import type * as types from "../types.ts";

/** The command. */
export const AUDIT: types.Command = {
  usage: "audit",
  description: "List every change with its author, oldest first.",
  options: [
    {
      name: "verify",
      kind: "switch",
      description: "Check here that no entry was altered, removed or added",
    },
    { name: "operator", kind: "text", description: "Only changes by this one" },
    {
      name: "since",
      kind: "text",
      description: "Only changes since a time or within a duration, as 24h",
    },
  ],
  examples: ["audit --since 24h", "audit --verify --operator admin"],
  run,
};

type AuditEntry = protocol.operators.AuditEntry;

async function run(context: types.Context): Promise<exitCode.ExitCode> {
  const operator = context.text("operator");
  const sinceMs = parseSince(context.text("since"));
  const entries = await readAll(await context.client());
  const shown = entries.filter((entry) =>
    entry.timeMs >= sinceMs &&
    (operator === undefined || entry.operator === operator)
  );
  context.output.lines(...render(shown));
  if (!context.isSet("verify")) {
    context.output.result({ entries: shown });
    return exitCode.OK;
  }
  const verification = core.state.verifyAuditTrail(entries);
  context.output.lines(renderVerification(verification));
  context.output.result({ entries: shown, verification });
  return verification.kind === "valid" ? exitCode.OK : exitCode.REFUSED;
}

async function readAll(client: clients.Client): Promise<AuditEntry[]> {
  const entries: AuditEntry[] = [];
  let after = 0;
  while (true) {
    const path = `/v1/audit?after=${after}`;
    const page = await client.read(path, protocol.operators.AuditPage);
    entries.push(...page.entries);
    const last = page.entries.at(-1);
    if (!page.more || last === undefined || last.index <= after) return entries;
    after = last.index;
  }
}

function parseSince(text: string | undefined): number {
  if (text === undefined) return 0;
  const duration = protocol.quantity.parseDurationMs(text);
  if (duration !== undefined) return Date.now() - duration;
  const time = Date.parse(text);
  if (!Number.isNaN(time)) return time;
  throw new failure.UsageError(
    `--since "${text}" is neither a time nor a duration`,
    "write it as 24h or as 2026-01-31T08:00:00Z",
  );
}

function render(entries: readonly AuditEntry[]): string[] {
  const heading = ["index", "time", "operator", "action", "subject", "change"];
  const rows = entries.map((entry) => [
    entry.index,
    output.renderTime(entry.timeMs),
    entry.operator,
    entry.action,
    entry.subject,
    entry.changeId,
  ]);
  return output.renderTable(heading, rows);
}

function renderVerification(
  verification: core.state.AuditVerification,
): string {
  if (verification.kind === "valid") {
    return `verified: ${verification.entries} entries, last digest ${verification.last}`;
  }
  return `BROKEN at index ${verification.index}: ${verification.reason}`;
}
