import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";

const ROOT = path.resolve(import.meta.dirname, "../../../../..");
const SOURCE = path.join(ROOT, "packages/daemon/src");
const PAGES = ["runbooks.md", "upgrade.md", "tls.md", "backup.md"];
/** An event in a page, as `part/event`. */
const DOCUMENTED = /`([a-z]+\/[a-z][a-z_-]*)`/g;
const PART = /createLog\("([a-z]+)"\)/;
/** The first argument of a log call, with the names that stand in it. */
const CALL = /\b(?:write|log)\(\s*([^,)]*)/g;
const NAME = /"([a-z][a-z_-]*)"/g;
/** Names an event by a variable. */
const EVENT_CONSTANT = /const event = ([^;]*);/g;
/** Gets its log, and with it its part, from the operators' role. */
const OPERATORS_HANDLER = "operators/handler.ts";

/** Events of a source file, as `part/event`. */
function eventsOf(file: string): string[] {
  const text = fs.readFileSync(path.join(SOURCE, file), "utf8");
  const part = file === OPERATORS_HANDLER ? "operators" : PART.exec(text)?.[1];
  if (part === undefined) return [];
  return [...text.matchAll(CALL), ...text.matchAll(EVENT_CONSTANT)]
    .flatMap(([, argument = ""]) => [...argument.matchAll(NAME)])
    .map(([, name]) => `${part}/${name}`);
}

describe("log events in the operators' pages", () => {
  const files = fs.readdirSync(SOURCE, { recursive: true, encoding: "utf8" });
  const written = new Set(
    files.filter((file) => file.endsWith(".ts")).flatMap(eventsOf),
  );

  for (const page of PAGES) {
    it(`are written by the daemon: ${page}`, () => {
      const file = path.join(ROOT, "docs/operators", page);
      const text = fs.readFileSync(file, "utf8");
      const named = [...text.matchAll(DOCUMENTED)].map(([, name]) => name);
      const unknown = named.filter((name = "") => !written.has(name));
      expect(named).not.to.deep.equal([]);
      expect(unknown).to.deep.equal([]);
    });
  }
});
