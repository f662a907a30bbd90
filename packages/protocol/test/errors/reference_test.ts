import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";
import * as callers from "../../src/errors/catalogue.ts";
import * as operators from "../../src/errors/operator_catalogue.ts";

const DOCS = path.resolve(import.meta.dirname, "../../../../../docs");
/** Name, status and outcome in the callers' table. */
const CALLERS_ROW = /^\| `([a-z-]+)` +\| (\d{3}) +\| `([a-z-]+)` +\|/gm;
/** Status and name in the operators' table. */
const OPERATORS_ROW = /^\| (\d{3}) +\| `([a-z-]+)` +\|/gm;
/** Refusals that operators may get besides those of their own. */
const SHARED = [
  callers.INVALID_REQUEST,
  callers.REQUEST_TIMEOUT,
  callers.TOO_LARGE,
  callers.INTERNAL,
];

function read(page: string): string {
  return fs.readFileSync(path.join(DOCS, page), "utf8");
}

describe("reference of the refusals", () => {
  it("tells callers name, status and outcome of each", () => {
    const documented = [...read("callers.md").matchAll(CALLERS_ROW)]
      .map(([, ...cells]) => cells.join(" "));
    const known = Object.values(callers)
      .map(({ name, status, outcome }) => `${name} ${status} ${outcome}`);
    expect(documented.sort()).to.deep.equal(known.sort());
  });

  it("tells operators name and status of each", () => {
    const page = read("operators/http_interface.md");
    const documented = [...page.matchAll(OPERATORS_ROW)]
      .map(([, status, name]) => `${name} ${status}`);
    const known = [...Object.values(operators), ...SHARED]
      .map(({ name, status }) => `${name} ${status}`);
    expect(documented.sort()).to.deep.equal(known.sort());
  });
});
