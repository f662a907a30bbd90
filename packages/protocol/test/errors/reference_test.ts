import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";
import * as callers from "../../src/errors/catalogue.ts";
import * as operators from "../../src/errors/operator_catalogue.ts";

const DOCS = path.resolve(import.meta.dirname, "../../../../../docs");
/** Matches name, status and outcome in the table for callers. */
const CALLER_ROW = /^\| `([a-z-]+)` +\| (\d{3}) +\| `([a-z-]+)` +\|/gm;
/** Matches status and name in the table for operators. */
const OPERATOR_ROW = /^\| (\d{3}) +\| `([a-z-]+)` +\|/gm;
/** Refusals of the callers' catalogue that operators can receive, too. */
const SHARED_REFUSALS = [
  callers.INVALID_REQUEST,
  callers.REQUEST_TIMEOUT,
  callers.TOO_LARGE,
  callers.INTERNAL,
];

function read(page: string): string {
  return fs.readFileSync(path.join(DOCS, page), "utf8");
}

describe("documentation of refusals", () => {
  it("lists name, status and outcome of each refusal for callers", () => {
    const documented = [...read("callers.md").matchAll(CALLER_ROW)]
      .map(([, ...cells]) => cells.join(" "));
    const defined = Object.values(callers)
      .map(({ name, status, outcome }) => `${name} ${status} ${outcome}`);
    expect(documented.sort()).to.deep.equal(defined.sort());
  });

  it("lists name and status of each refusal for operators", () => {
    const page = read("operators/http_interface.md");
    const documented = [...page.matchAll(OPERATOR_ROW)]
      .map(([, status, name]) => `${name} ${status}`);
    const defined = [...Object.values(operators), ...SHARED_REFUSALS]
      .map(({ name, status }) => `${name} ${status}`);
    expect(documented.sort()).to.deep.equal(defined.sort());
  });
});
