/** Figures as they are printed. */

/** Renders a figure with four significant digits. */
export function render(value: number | string): string {
  if (typeof value === "string") return value.replaceAll(/\s+/g, "_");
  if (Number.isInteger(value)) return String(value);
  return String(Number(value.toPrecision(4)));
}

/** Renders figures as `key=value …` on one line. */
export function renderLine(
  figures: Readonly<Record<string, number | string>>,
): string {
  return Object.entries(figures)
    .map(([name, value]) => `${snakeCase(name)}=${render(value)}`)
    .join(" ");
}

function snakeCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
