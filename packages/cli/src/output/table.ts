const COLUMN_GAP = "  ";

/**
 * Renders rows as aligned columns under a heading.
 *
 * @example
 * ```ts
 * renderTable(["id", "workspace"], [["k-1", "web"]]);
 * ```
 */
export function renderTable(
  heading: readonly string[],
  rows: readonly (readonly (string | number | boolean)[])[],
): string[] {
  const lines = [heading, ...rows].map((row) => row.map(String));
  const widths = heading.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP).trimEnd()
  );
}

/**
 * Renders a time so that it sorts and can be pasted into `--since`.
 *
 * @example
 * ```ts
 * renderTime(0); // "1970-01-01T00:00:00.000Z"
 * ```
 */
export function renderTime(timeMs: number): string {
  const date = new Date(timeMs);
  return Number.isNaN(date.getTime()) ? "unknown" : date.toISOString();
}

/**
 * Renders a duration in seconds.
 *
 * @example
 * ```ts
 * renderSeconds(420); // "0.42 s"
 * ```
 */
export function renderSeconds(durationMs: number): string {
  return `${(durationMs / 1_000).toFixed(2)} s`;
}
