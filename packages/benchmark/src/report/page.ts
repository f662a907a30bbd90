import * as chart from "./chart.ts";

/** What a report shows. */
export interface Page {
  readonly name: string;
  readonly command: string;
  readonly date: string;
  readonly figures: Readonly<Record<string, number | string>>;
  readonly charts: readonly chart.Chart[];
}

/** Renders a report as one HTML file without scripts. */
export function renderPage(page: Page): string {
  const rows = Object.entries(page.figures)
    .map(([name, value]) =>
      `<tr><th>${escape(name)}</th><td>${escape(String(value))}</td></tr>`
    );
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>${escape(page.name)}</title>`,
    "<style>body{font-family:sans-serif;max-width:48em;margin:2em auto}" +
    "th{text-align:left;padding-right:2em}svg{width:100%;height:auto}</style>",
    `</head><body><h1>${escape(page.name)}</h1>`,
    `<p>${escape(page.date)}: <code>${escape(page.command)}</code></p>`,
    ...page.charts.map(chart.renderChart),
    `<table>${rows.join("\n")}</table>`,
    "</body></html>",
    "",
  ].join("\n");
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;");
}
