import type * as protocol from "@ebonypath/protocol";
import * as state from "../../src/state/mod.ts";

type Command = protocol.state.Command;

export const OWNER = { host: "h1", hostIncarnation: "a" };
export const OTHER_OWNER = { host: "h2", hostIncarnation: "b" };
export const ANSWER: protocol.state.StoredResponse = {
  status: 200,
  contentType: "application/json",
  body: "{}",
  outcome: "ran",
};
export const CONFIGURATION: protocol.configuration.Configuration = {
  workspaces: [
    { name: "web", rate: 10, burst: 100, weight: 1, deferredLimit: 2 },
    { name: "staff", rate: 10, burst: 100, weight: 1, deferredLimit: 2 },
  ],
  services: [{
    name: "advice",
    kind: "model",
    models: [{
      name: "size",
      version: "1",
      bytes: 10,
      kvBytes: 1,
      maxReplicas: 2,
      defaultMaxTokens: 16,
      adapters: [{ name: "retail", version: "1", bytes: 1 }],
    }],
    routes: [],
    workspaces: ["web"],
    tiers: [{
      name: "now",
      maxWaitMs: 1_000,
      priceFactor: 1,
      delivery: "connected",
    }],
  }, {
    name: "orders",
    kind: "plain",
    models: [],
    routes: [
      {
        method: "GET",
        path: "/items/*",
        idempotent: true,
        open: false,
        cost: 1,
      },
      {
        method: "POST",
        path: "/items",
        idempotent: false,
        open: false,
        cost: 1,
      },
    ],
    workspaces: ["web"],
    tiers: [{
      name: "now",
      maxWaitMs: 1_000,
      priceFactor: 1,
      delivery: "connected",
    }],
  }],
};

/**
 * Applies commands at consecutive log indexes, with a clock set by the test.
 */
export class TestLog {
  state: state.StateMachine;
  timeMs = 1_000;
  entries: protocol.state.TimestampedCommand[] = [];

  constructor(limits: Partial<state.Limits> = {}) {
    this.state = new state.StateMachine({ ...state.DEFAULT_LIMITS, ...limits });
  }

  apply(command: Command): protocol.state.CommandResult {
    return this.applyWithChanges(command).result;
  }

  /** Applies a command; returns its result with the changes of the view. */
  applyWithChanges(command: Command): state.ApplyResult {
    const stamped = { timeMs: this.timeMs, command };
    this.entries.push(stamped);
    return this.state.apply(this.entries.length, stamped);
  }

  publish(changeId = "c0", base = 0): protocol.state.CommandResult {
    return this.apply({
      kind: "publish",
      operator: "ann",
      changeId,
      base,
      configuration: CONFIGURATION,
    });
  }

  /** Moves the clock and applies `advance-time`. */
  advanceTime(ms: number): state.ApplyResult {
    this.timeMs += ms;
    return this.applyWithChanges({ kind: "advance-time" });
  }

  /** Continues from a snapshot, as a new leader or a restarted voter does. */
  restoreFromSnapshot(): void {
    const text = this.state.toSnapshot();
    this.state = state.StateMachine.fromSnapshot(text, this.state.limits);
  }
}

export const KEY = "a".repeat(64);
export const REQUEST = "b".repeat(64);

export function openClaim(
  owner = OWNER,
  attempt = "t1",
  request = REQUEST,
): Command {
  const workspace = "web";
  const kind = "open-claim";
  return { kind, workspace, key: KEY, request, attempt, ...owner };
}

export function accept(
  id: string,
  idempotent = true,
  key?: string,
): Extract<Command, { kind: "accept-deferred" }> {
  return {
    kind: "accept-deferred",
    id: id.padEnd(16, "0"),
    request: {
      workspace: "web",
      service: "advice",
      model: "advice/size",
      method: "POST",
      path: "/v1/completions",
      contentType: "application/json",
      body: "{}",
      tier: "later",
      idempotent,
    },
    maxWaitMs: 10_000,
    ...(key === undefined ? {} : { key }),
  };
}
