import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";

const ROOT = path.resolve(import.meta.dirname, "../../../../..");
const SOURCE = path.join(ROOT, "packages/daemon/src");
const PAGES = ["runbooks.md", "upgrade.md", "tls.md", "backup.md"];
/** Matches an event in a page, as `part/event`. */
const DOCUMENTED = /`([a-z]+\/[a-z][a-z_-]*)`/g;
const PART = /createLog\("([a-z]+)"\)/;
/** Matches the first argument of a log call, which can hold several names. */
const CALL = /\b(?:write|log)\(\s*([^,)]*)/g;
const NAME = /"([a-z][a-z_-]*)"/g;
/** Matches the definition of a variable that holds an event name. */
const EVENT_CONSTANT = /const event = ([^;]*);/g;
/** Does not create its log: the operators' role passes it in, with its part. */
const OPERATORS_HANDLER = "operators/handler.ts";

/** Returns the events that a source file logs, as `part/event`. */
function loggedEvents(file: string): string[] {
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
    files.filter((file) => file.endsWith(".ts")).flatMap(loggedEvents),
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
