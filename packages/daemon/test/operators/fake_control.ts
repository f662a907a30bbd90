import type * as protocol from "@ebonypath/protocol";
import type * as operators from "../../src/operators/mod.ts";

/** Records changes and returns the configured results or failure. */
export class FakeControl implements operators.ControlAccess {
  readonly proposed: operators.OperatorCommand[] = [];
  readonly memberChanges: operators.MemberChange[] = [];
  result: protocol.state.CommandResult = { kind: "done", index: 7 };
  memberResult: protocol.operators.MemberChangeResult = {
    kind: "done",
    index: 8,
  };
  failure: Error | undefined;
  keys: protocol.state.Key[] = [];
  audit: protocol.operators.AuditEntry[] = [];

  propose(command: operators.OperatorCommand) {
    this.proposed.push(command);
    return this.#respond(this.result);
  }

  view(): Promise<protocol.state.FleetView> {
    return this.#respond({
      index: 7,
      version: 5,
      configuration: { workspaces: [], services: [] },
      keys: this.keys,
      withdrawnFailureDomains: ["fd-2"],
      quarantines: [],
    });
  }

  configuration(version = 5) {
    const configuration = { workspaces: [], services: [] };
    const published = { version, operator: "admin", timeMs: 1, configuration };
    return this.#respond(version === 5 ? published : undefined);
  }

  members(): Promise<protocol.operators.Members> {
    return this.#respond({ term: 1, commitIndex: 7, members: [], mayLose: 1 });
  }

  changeMembers(change: operators.MemberChange) {
    this.memberChanges.push(change);
    return this.#respond(this.memberResult);
  }

  explain(): Promise<protocol.operators.Explanation> {
    return Promise.reject(new Error("nothing to explain"));
  }

  hosts() {
    return this.#respond([]);
  }

  status(): Promise<protocol.operators.Status> {
    return this.#respond({
      host: { name: "host-1", incarnation: "i-1", failureDomain: "fd-1" },
      cell: "local",
      softwareVersion: "0.1.0",
      current: true,
      leader: null,
      term: 1,
      index: 7,
      version: 5,
      withdrawnFailureDomains: [],
      servers: [],
    });
  }

  auditPage(after: number, limit: number) {
    const entries = this.audit.filter(({ index }) => index > after);
    return this.#respond(entries.slice(0, limit));
  }

  #respond<T>(value: T): Promise<T> {
    if (this.failure !== undefined) return Promise.reject(this.failure);
    return Promise.resolve(value);
  }
}
