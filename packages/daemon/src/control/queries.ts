import type * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import type * as hostRegistry from "./host_registry.ts";

/** What queries are answered from. */
export interface QuerySource {
  readonly state: core.state.StateMachine;
  readonly hosts: hostRegistry.HostRegistry;
  members(): protocol.operators.Members;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** What a query is answered with; null where there is nothing. */
export type QueryAnswer =
  | protocol.state.FleetView
  | protocol.operators.PublishedVersion
  | protocol.operators.Members
  | protocol.operators.Host[]
  | protocol.operators.AuditEntry[]
  | null;

/**
 * Answers an operator's query from the leader's state.
 *
 * @example
 * ```ts
 * answer({ kind: "view" }, source);
 * ```
 */
export function answer(
  query: protocol.control.Query,
  source: QuerySource,
): QueryAnswer {
  switch (query.kind) {
    case "view":
      return source.state.view();
    case "configuration":
      return published(source.state, query.version);
    case "members":
      return source.members();
    case "hosts":
      return hosts(source);
    case "audit":
      return [...source.state.auditEntries(query.after, query.limit)];
    default:
      return protocol.errors.assertNever(query);
  }
}

function published(
  state: core.state.StateMachine,
  version: number | undefined,
): protocol.operators.PublishedVersion | null {
  const found = version === undefined
    ? state.currentVersion()
    : state.findVersion(version);
  return found ?? null;
}

function hosts(source: QuerySource): protocol.operators.Host[] {
  return source.hosts.live(source.now).map((host) => ({
    ...host.identity,
    roles: [...host.roles],
    index: Math.max(0, host.appliedIndex),
    version: host.version,
    current: host.current,
    silentMs: source.now - host.heardAt,
  }));
}
