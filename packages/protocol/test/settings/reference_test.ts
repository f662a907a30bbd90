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

describe("documentation of settings", () => {
  const documented = new Map(
    [
      ...fs.readFileSync(PAGE, "utf8").matchAll(
        /^\| `([^`]+)` +\| (.*?) +\|/gm,
      ),
    ]
      .map(([, key = "", value = ""]) => [key, value]),
  );
  const keys = new Map(listKeys(settings.Settings as unknown as Schema, ""));

  it("lists exactly the keys of the schema", () => {
    expect([...documented.keys()].sort()).to.deep.equal(
      [...keys.keys()].sort(),
    );
  });

  for (const [key, schema] of keys) {
    if (schema.type !== "optional" || schema.default === undefined) continue;
    it(`states the default of ${key}`, () => {
      const value = `\`${JSON.stringify(schema.default)}\``;
      expect(documented.get(key)).to.equal(value);
    });
  }
});

/** Lists the keys of a schema as written in a settings file. */
function listKeys(
  schema: Schema,
  prefix: string,
): [key: string, schema: Schema][] {
  const inner = schema.wrapped ?? schema;
  if (inner.entries !== undefined) {
    return Object.entries(inner.entries).flatMap(([key, entry]) => {
      const name = toml.renderPath([key]);
      return listKeys(entry, prefix === "" ? name : `${prefix}.${name}`);
    });
  }
  if (inner.item?.entries !== undefined) {
    return listKeys(inner.item, `${prefix}[]`);
  }
  return [[prefix, schema]];
}
