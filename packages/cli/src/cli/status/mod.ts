/**
 * `ebonypath status`: the fleet at a glance.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as exitCode from "../../exit_code.ts";
import * as failure from "../../failure.ts";
import * as output from "../../output/mod.ts";
import type * as types from "../types.ts";

/** The command. */
export const STATUS: types.Command = {
  usage: "status",
  description: "Show the leader, the hosts and the backend servers.",
  run,
};

async function run(context: types.Context): Promise<exitCode.ExitCode> {
  const client = await context.client();
  const status = await client.read("/v1/status", protocol.operators.Status);
  const { host, leader } = status;
  context.output.lines(
    `host ${host.name} in ${host.failureDomain}, ${
      status.current ? "current" : "NOT current"
    }, version ${status.softwareVersion}`,
    `leader ${leader ?? "unknown"}, term ${status.term}`,
    `configuration ${status.version}, log index ${status.index}`,
    `withdrawn failure domains: ${
      status.withdrawnFailureDomains.join(", ") || "none"
    }`,
    "",
    ...renderServers(status.servers),
  );
  const hosts = await readHosts(context);
  if (hosts !== undefined) context.output.lines("", ...renderHosts(hosts));
  context.output.result({ ...status, hosts: hosts ?? null });
  return exitCode.OK;
}

/** The hosts as the leader knows them; nothing while none leads. */
async function readHosts(
  context: types.Context,
): Promise<readonly protocol.operators.Host[] | undefined> {
  const client = await context.client();
  try {
    const path = "/v1/hosts";
    return (await client.read(path, protocol.operators.Hosts)).hosts;
  } catch (error) {
    if (!(error instanceof failure.UnreachableError)) throw error;
    context.output.lines("", "no leader was reached: the hosts are not known");
    return undefined;
  }
}

function renderServers(
  servers: readonly protocol.control.ServerStatus[],
): string[] {
  if (servers.length === 0) return ["no backend server has announced itself"];
  const heading = [
    "server",
    "domain",
    "kind",
    "usable",
    "limit",
    "ready",
  ];
  const rows = servers.map((server) => [
    server.id,
    server.failureDomain,
    server.kind,
    server.usable ? "yes" : "no",
    server.limit,
    server.ready.join(" "),
  ]);
  return output.renderTable(heading, rows);
}

function renderHosts(hosts: readonly protocol.operators.Host[]): string[] {
  const heading = [
    "host",
    "domain",
    "roles",
    "current",
    "configuration",
    "index",
    "silent",
  ];
  const rows = hosts.map((host) => [
    host.name,
    host.failureDomain,
    host.roles.join("+"),
    host.current ? "yes" : "no",
    host.version,
    host.index,
    output.renderSeconds(host.silentMs),
  ]);
  return output.renderTable(heading, rows);
}
