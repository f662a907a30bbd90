/**
 * Parsing and formatting of human-readable sizes and durations.
 *
 * @module
 */

const BYTE_UNITS: Readonly<Record<string, number>> = {
  B: 1,
  KB: 1e3,
  MB: 1e6,
  GB: 1e9,
  TB: 1e12,
  KiB: 2 ** 10,
  MiB: 2 ** 20,
  GiB: 2 ** 30,
  TiB: 2 ** 40,
};

const TIME_UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/**
 * Parses a size such as `"8 GB"` or `"512 MiB"` into bytes.
 *
 * @example
 * ```ts
 * parseBytes("1.5 GB"); // 1500000000
 * ```
 */
export function parseBytes(text: string): number | undefined {
  return parseQuantity(text, BYTE_UNITS);
}

/**
 * Parses a duration such as `"500ms"`, `"2s"` or `"6h"` into milliseconds.
 *
 * @example
 * ```ts
 * parseDurationMs("2s"); // 2000
 * ```
 */
export function parseDurationMs(text: string): number | undefined {
  return parseQuantity(text, TIME_UNITS_MS);
}

/**
 * Formats a size in the largest decimal unit that gives a whole number.
 *
 * @example
 * ```ts
 * renderBytes(1_500_000_000); // "1500 MB"
 * ```
 */
export function renderBytes(bytes: number): string {
  const units = ["TB", "GB", "MB", "KB"];
  return renderQuantity(bytes, units, BYTE_UNITS, " ") ?? `${bytes} B`;
}

/**
 * Formats a duration in the largest unit that gives a whole number.
 *
 * @example
 * ```ts
 * renderDurationMs(120_000); // "2m"
 * ```
 */
export function renderDurationMs(durationMs: number): string {
  const units = ["d", "h", "m", "s"];
  return renderQuantity(durationMs, units, TIME_UNITS_MS, "") ??
    `${durationMs}ms`;
}

function renderQuantity(
  value: number,
  unitNames: readonly string[],
  units: Readonly<Record<string, number>>,
  separator: string,
): string | undefined {
  if (value === 0) return undefined;
  for (const name of unitNames) {
    const count = value / (units[name] ?? 1);
    if (Number.isInteger(count)) return `${count}${separator}${name}`;
  }
  return undefined;
}

function parseQuantity(
  text: string,
  units: Readonly<Record<string, number>>,
): number | undefined {
  const match = /^(\d{1,15}(?:\.\d{1,9})?) ?([A-Za-z]{1,3})$/.exec(text);
  const unit = match?.[2];
  if (match === null || unit === undefined) return undefined;
  if (!Object.hasOwn(units, unit)) return undefined;
  const value = Math.round(Number(match[1]) * (units[unit] ?? 0));
  return Number.isSafeInteger(value) ? value : undefined;
}
