/**
 * What the operators' interface needs of a host.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as entry from "../entry/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as host from "../host/mod.ts";
import type * as listener from "../listener/mod.ts";
import * as log from "../log/mod.ts";
import * as operators from "../operators/mod.ts";
import type * as settings from "../settings/mod.ts";

/** Version of the software, as `status` tells it. */
const SOFTWARE_VERSION = "0.1.0";
/** Limits of a read at the leader. */
const READ_LIMITS = { attemptMs: 1_000, totalMs: 3_000, retryable: true };
/** Limits of a change of members: it waits until the new member caught up. */
const MEMBER_LIMITS = {
  attemptMs: 30_000,
  totalMs: 35_000,
  retryable: true,
};

/** What the operators' interface shares with the rest of its host. */
export interface OperatorsRoleOptions {
  readonly loaded: settings.LoadedSettings;
  readonly identity: protocol.control.HostIdentity;
  readonly leader: fleet.LeaderClient;
  readonly state: host.FleetState;
  /** Renders the metrics in the text format of Prometheus. */
  renderMetrics(): Promise<string>;
  isCurrent(): boolean;
  /** Absent at a host that takes no requests of callers. */
  readonly explainer: Pick<entry.Explainer, "explain"> | undefined;
}

/** Creates the handler of the operators' listener. */
export function createHandler(
  options: OperatorsRoleOptions,
): listener.Handler {
  const { limits } = options.loaded.settings;
  return operators.createOperatorsHandler({
    operators: options.loaded.operators,
    control: new RemoteControl(options),
    limits: {
      maxBytes: limits.maxOperatorBodyBytes,
      timeoutMs: limits.bodyTimeoutMs,
    },
    isAlive: () => true,
    renderMetrics: () => options.renderMetrics(),
    log: log.createLog("operators"),
  });
}

/** Passes operators' calls on to the leader. */
class RemoteControl implements operators.ControlAccess {
  readonly #options: OperatorsRoleOptions;
  readonly #proposer: host.RemoteProposer;

  constructor(options: OperatorsRoleOptions) {
    this.#options = options;
    this.#proposer = new host.RemoteProposer(options.leader);
  }

  propose(
    command: operators.OperatorCommand,
  ): Promise<protocol.state.CommandResult> {
    return this.#proposer.propose(command);
  }

  async view(): Promise<protocol.state.FleetView> {
    const answer = await this.#read({ kind: "view" });
    return v.parse(protocol.state.FleetView, answer);
  }

  async configuration(
    version?: number,
  ): Promise<protocol.operators.PublishedVersion | undefined> {
    const answer = await this.#read({
      kind: "configuration",
      ...(version === undefined ? {} : { version }),
    });
    if (answer === null) return undefined;
    return v.parse(protocol.operators.PublishedVersion, answer);
  }

  async members(): Promise<protocol.operators.Members> {
    const answer = await this.#read({ kind: "members" });
    return v.parse(protocol.operators.Members, answer);
  }

  async changeMembers(
    change: operators.MemberChange,
  ): Promise<protocol.operators.MemberChangeResult> {
    const answer = await this.#options.leader.call(
      protocol.control.CHANGE_MEMBERS_METHOD,
      change,
      MEMBER_LIMITS,
    );
    return v.parse(protocol.operators.MemberChangeResult, answer);
  }

  async hosts(): Promise<readonly protocol.operators.Host[]> {
    const answer = await this.#read({ kind: "hosts" });
    return v.parse(v.array(protocol.operators.Host), answer);
  }

  async status(): Promise<protocol.operators.Status> {
    const { identity, leader, loaded, state } = this.#options;
    await Promise.resolve();
    return {
      host: identity,
      cell: loaded.settings.host.cell,
      softwareVersion: SOFTWARE_VERSION,
      current: this.#options.isCurrent(),
      leader: leader.leader,
      term: state.term,
      index: Math.max(0, state.index),
      version: state.view.version,
      withdrawnFailureDomains: state.view.withdrawnFailureDomains(),
      servers: [...state.servers.values()],
    };
  }

  async explain(
    question: protocol.operators.Question,
  ): Promise<protocol.operators.Explanation> {
    const { explainer, identity } = this.#options;
    await Promise.resolve();
    if (explainer !== undefined) return explainer.explain(question);
    throw new protocol.errors.Refusal(
      protocol.errors.NO_SUCH_ITEM,
      `host ${identity.name} takes no requests of callers: ask an entry host`,
    );
  }

  async auditPage(
    after: number,
    limit: number,
  ): Promise<readonly protocol.operators.AuditEntry[]> {
    const answer = await this.#read({ kind: "audit", after, limit });
    return v.parse(v.array(protocol.operators.AuditEntry), answer);
  }

  #read(query: protocol.control.Query): Promise<unknown> {
    return this.#options.leader.call(
      protocol.control.READ_METHOD,
      query,
      READ_LIMITS,
    );
  }
}
