import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";
import type * as v from "valibot";
import * as settings from "../../src/settings/mod.ts";
import * as toml from "../../src/toml/mod.ts";

const PAGE = path.resolve(
  import.meta.dirname,
  "../../../../../docs/operators/settings.md",
);

type Schema = v.GenericSchema & {
  readonly entries?: Readonly<Record<string, Schema>>;
  readonly item?: Schema;
  readonly wrapped?: Schema;
  readonly default?: unknown;
};

describe("settings reference", () => {
  const documented = new Map(
    [...fs.readFileSync(PAGE, "utf8").matchAll(/^\| `([^`]+)` +\| (.*?) +\|/gm)]
      .map(([, key = "", value = ""]) => [key, value]),
  );
  const keys = new Map(listKeys(settings.Settings as unknown as Schema, ""));

  it("names every key of the schema and no other", () => {
    expect([...documented.keys()].sort()).to.deep.equal(
      [...keys.keys()].sort(),
    );
  });

  for (const [key, schema] of keys) {
    if (schema.type !== "optional" || schema.default === undefined) continue;
    it(`tells the default of ${key}`, () => {
      const value = `\`${JSON.stringify(schema.default)}\``;
      expect(documented.get(key)).to.equal(value);
    });
  }
});

/** Lists the keys below a schema as they are written in a file. */
function listKeys(schema: Schema, at: string): [key: string, schema: Schema][] {
  const inner = schema.wrapped ?? schema;
  if (inner.entries !== undefined) {
    return Object.entries(inner.entries).flatMap(([key, entry]) => {
      const name = toml.renderPath([key]);
      return listKeys(entry, at === "" ? name : `${at}.${name}`);
    });
  }
  if (inner.item?.entries !== undefined) return listKeys(inner.item, `${at}[]`);
  return [[at, schema]];
}
