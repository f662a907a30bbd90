import type * as placement from "../placement/mod.ts";
import * as groups from "./groups.ts";
import * as types from "./types.ts";

/**
 * Plans deferred requests, grouped by model. A group runs when its model is
 * loaded and has spare capacity. A model is loaded for it when memory idles,
 * after requests were collected for a while, or when a deadline is near; only
 * then may other models be evicted, and spare capacity does not matter.
 *
 * @example
 * ```ts
 * const { assignments, needs } = plan(facts);
 * placement.setDeferredDemand(needs);
 * ```
 */
export function plan(facts: types.PlannerInput): types.Plan {
  const hosts = new HostTable(facts);
  const needs: placement.TargetDemand[] = [];
  for (const group of groups.groupsOf(facts)) {
    const urgent = groups.urgentCount(group, facts.timeMs);
    if (group.capacity.loaded) {
      const count = Math.max(urgent, group.capacity.spare);
      for (const { id } of group.items.slice(0, count)) hosts.assign(id);
    } else if (urgent > 0 || groups.isCollected(group, facts.timeMs)) {
      needs.push(needOf(group, urgent, facts));
    }
  }
  return { assignments: hosts.assignments(), needs };
}

function needOf(
  group: groups.Group,
  urgent: number,
  facts: types.PlannerInput,
): placement.TargetDemand {
  const remainingMs = groups.firstDeadlineMs(group) - facts.timeMs;
  return {
    target: group.target,
    waiting: Math.max(1, urgent),
    running: 0,
    deadlineMs: facts.nowMs + remainingMs,
    mayEvict: urgent > 0,
  };
}

interface Slot {
  readonly host: types.DeferredHost;
  readonly ids: string[];
  assigned: number;
}

/** Spreads requests over hosts, the least loaded first. */
class HostTable {
  readonly #slots: Slot[];

  constructor({ hosts, assigned }: types.PlannerInput) {
    this.#slots = hosts.map((host) => ({
      host,
      ids: [],
      assigned:
        assigned.filter(({ phase: { assignment } }) =>
          assignment.host === host.host &&
          assignment.hostIncarnation === host.hostIncarnation
        ).length,
    }));
  }

  /** Assigns a request unless all hosts have enough. */
  assign(id: string): void {
    const [slot] = this.#slots
      .filter(({ assigned }) => assigned < types.MAX_ASSIGNED_PER_HOST)
      .sort((a, b) => loadOf(a) - loadOf(b));
    if (slot === undefined) return;
    slot.ids.push(id);
    slot.assigned++;
  }

  assignments(): types.Assignment[] {
    return this.#slots
      .filter(({ ids }) => ids.length > 0)
      .map(({ host: { host, hostIncarnation }, ids }) => ({
        host,
        hostIncarnation,
        ids,
      }));
  }
}

function loadOf({ host, ids }: Slot): number {
  return host.load + ids.length;
}
