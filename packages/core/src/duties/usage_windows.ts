import type { gateway } from "@ebonypath/protocol";
import * as begunCounter from "./begun_counter.ts";

/** Latest window that is ahead of the leader's own, in windows. */
const MAX_WINDOWS_AHEAD = 1;

/**
 * Sums on the leader what hosts have counted in windows that are not closed. A
 * host tells its whole count, and the highest one that it told stands, also when
 * the host ends. A host that starts again has another name.
 *
 * @example
 * ```ts
 * windows.record("entry-1", [{ window: 7, workspace: "shop", count: 3 }], 7);
 * windows.countsOf(7); // [{ workspace: "shop", count: 3 }]
 * ```
 */
export class UsageWindows {
  /** Counts by window, workspace and host. */
  readonly #windows = new Map<number, Map<string, Map<string, number>>>();
  /** Requests in reports that came after their window was closed. */
  late = 0;
  /** Records of windows that can't be true. */
  refused = 0;

  /**
   * Records the report of a host.
   *
   * @param currentWindow the window of the present
   * @param closedWindow the last one whose content is fixed
   */
  record(
    host: string,
    counts: readonly gateway.WindowCount[],
    currentWindow: number,
    closedWindow: number | null = null,
  ): void {
    for (const { count, window, workspace } of counts) {
      if (window <= (closedWindow ?? -1)) {
        this.late += count;
        continue;
      }
      if (!isPlausible(window, currentWindow)) {
        this.refused += 1;
        continue;
      }
      const workspaces = getOrAdd(this.#windows, window);
      const hosts = getOrAdd(workspaces, workspace);
      hosts.set(host, Math.max(hosts.get(host) ?? 0, count));
    }
  }

  /** Requests that servers began to run in a window, by workspace. */
  countsOf(window: number): gateway.WorkspaceCount[] {
    return [...this.#windows.get(window) ?? []]
      .map(([workspace, hosts]) => ({
        workspace,
        count: [...hosts.values()].reduce((sum, count) => sum + count, 0),
      }))
      .sort((a, b) => a.workspace < b.workspace ? -1 : 1);
  }

  /** Forgets the windows up to one that is closed. */
  removeThrough(closedWindow: number): void {
    for (const window of [...this.#windows.keys()]) {
      if (window <= closedWindow) this.#windows.delete(window);
    }
  }
}

function isPlausible(window: number, currentWindow: number): boolean {
  return window <= currentWindow + MAX_WINDOWS_AHEAD &&
    window > currentWindow - begunCounter.MAX_OPEN_WINDOWS;
}

function getOrAdd<K, A, B>(
  maps: Map<K, Map<A, B>>,
  key: K,
): Map<A, B> {
  const known = maps.get(key) ?? new Map<A, B>();
  maps.set(key, known);
  return known;
}
