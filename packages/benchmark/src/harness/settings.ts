import type * as types from "../types.ts";

/** Reads a numeric option of an experiment. */
export function numberOf(
  options: types.RunOptions,
  name: string,
  otherwise: number,
): number {
  const text = options.settings[name];
  if (text === undefined) return otherwise;
  const value = Number(text);
  if (Number.isFinite(value)) return value;
  throw new RangeError(`--${name} is not a number`);
}

/** Control hosts of a fleet, as `--voters` says. */
export function voters(options: types.RunOptions, otherwise = 3): number {
  return numberOf(options, "voters", otherwise);
}
