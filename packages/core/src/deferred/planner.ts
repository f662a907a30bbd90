import type * as placement from "../placement/mod.ts";
import * as targetGroups from "./target_groups.ts";
import * as types from "./types.ts";

/**
 * Plans deferred requests, grouped by target. A group whose model is loaded
 * runs within the model's spare capacity. A model that is not loaded is
 * requested after its requests have been batched, and is then loaded only into
 * idle memory. Near a deadline, idle models may be evicted for it, and requests
 * run even without spare capacity.
 *
 * @example
 * ```ts
 * const { assignments, demands } = plan(input);
 * placement.setDeferredDemand(demands);
 * ```
 */
export function plan(input: types.PlannerInput): types.Plan {
  const assigner = new HostAssigner(input);
  const demands: placement.TargetDemand[] = [];
  for (const group of targetGroups.groupByTarget(input)) {
    const urgent = targetGroups.urgentCount(group, input.timeMs);
    if (group.capacity.loaded) {
      const count = Math.max(urgent, group.capacity.spare);
      for (const { id } of group.items.slice(0, count)) assigner.assign(id);
    } else if (
      urgent > 0 || targetGroups.isBatchingComplete(group, input.timeMs)
    ) {
      demands.push(demandOf(group, urgent, input));
    }
  }
  return { assignments: assigner.assignments(), demands };
}

function demandOf(
  group: targetGroups.TargetGroup,
  urgent: number,
  input: types.PlannerInput,
): placement.TargetDemand {
  const remainingMs = targetGroups.firstDeadlineMs(group) - input.timeMs;
  return {
    target: group.target,
    waiting: Math.max(1, urgent),
    running: 0,
    deadlineMs: input.nowMs + remainingMs,
    mayEvict: urgent > 0,
  };
}

interface HostRow {
  readonly host: types.DeferredHost;
  readonly ids: string[];
  assigned: number;
}

/** Assigns requests to the least loaded hosts. */
class HostAssigner {
  readonly #rows: HostRow[];

  constructor({ hosts, assigned }: types.PlannerInput) {
    this.#rows = hosts.map((host) => ({
      host,
      ids: [],
      assigned:
        assigned.filter(({ phase: { assignment } }) =>
          assignment.host === host.host &&
          assignment.hostIncarnation === host.hostIncarnation
        ).length,
    }));
  }

  /** Assigns a request, unless all hosts are at their maximum. */
  assign(id: string): void {
    const [row] = this.#rows
      .filter(({ assigned }) => assigned < types.MAX_ASSIGNED_PER_HOST)
      .sort((a, b) => loadOf(a) - loadOf(b));
    if (row === undefined) return;
    row.ids.push(id);
    row.assigned++;
  }

  assignments(): types.Assignment[] {
    return this.#rows
      .filter(({ ids }) => ids.length > 0)
      .map(({ host: { host, hostIncarnation }, ids }) => ({
        host,
        hostIncarnation,
        ids,
      }));
  }
}

function loadOf({ host, ids }: HostRow): number {
  return host.load + ids.length;
}
