import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";
import * as metrics from "../../src/metrics/mod.ts";

const PAGE = path.resolve(
  import.meta.dirname,
  "../../../../../docs/operators/metrics.md",
);
/** Matches the name and type of a metric in a row of a reference table. */
const ROW = /^\| `([a-z0-9_]+)` +\| (counter|gauge|histogram) +\|/gm;
/** Matches metric names in expressions; histograms add a suffix. */
const NAME = /\b(?:ebonypath|nodejs|process)_[a-z0-9_]+/g;
const SUFFIX = /_(?:bucket|sum|count)$/;

describe("metrics reference", () => {
  const page = fs.readFileSync(PAGE, "utf8");
  const { registry } = new metrics.Metrics();
  const registered = registry.getMetricsAsArray()
    .map((metric) => {
      const { name, type } = metric as unknown as Record<string, string>;
      return `${name} ${type}`;
    });

  it("documents exactly the registered metrics with their types", () => {
    const documented = [...page.matchAll(ROW)]
      .map(([, name, type]) => `${name} ${type}`);
    expect(documented.sort()).to.deep.equal([...registered].sort());
  });

  it("refers only to registered metrics in its alerts", () => {
    const names = new Set(registered.map((text) => text.split(" ")[0]));
    const alerts = page.slice(page.indexOf("## Alerts"));
    const used = [...alerts.matchAll(NAME)].map(([name]) => name);
    const unknown = used.filter((name) =>
      !names.has(name) && !names.has(name.replace(SUFFIX, ""))
    );
    expect(used).not.to.deep.equal([]);
    expect(unknown).to.deep.equal([]);
  });
});
