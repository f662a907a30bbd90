import * as fs from "node:fs";
import * as path from "node:path";
import { expect } from "chai";

const ROOT = path.resolve(import.meta.dirname, "../../../../..");
/** A link to a place in the repository. */
const LINK = /\]\((?!https?:)([^)#\s]*)(?:#([^)\s]+))?\)/g;
const HEADING = /^#+ +(.+)$/gm;
const CODE_BLOCK = /^```[\s\S]*?^```/gm;

/** The pages of the repository, relative to its root. */
function listPages(): string[] {
  const packages = fs.readdirSync(path.join(ROOT, "packages"))
    .map((name) => `packages/${name}/README.md`);
  const docs = fs.readdirSync(path.join(ROOT, "docs"), {
    recursive: true,
    encoding: "utf8",
  }).filter((name) => name.endsWith(".md")).map((name) => `docs/${name}`);
  return ["README.md", "CONTRIBUTING.md", ...packages, ...docs];
}

function read(file: string): string {
  return fs.readFileSync(file, "utf8").replaceAll(CODE_BLOCK, "");
}

/** Anchors of a page's headings, as they are made by hosts of repositories. */
function anchorsOf(file: string): Set<string> {
  const headings = [...read(file).matchAll(HEADING)];
  return new Set(headings.map(([, text = ""]) =>
    text.trim().toLowerCase()
      .replaceAll(/[^\p{L}\p{N}\s_-]/gu, "")
      .replaceAll(" ", "-")
  ));
}

function isBroken(page: string, target: string, anchor?: string): boolean {
  const folder = path.dirname(path.join(ROOT, page));
  const file = target === ""
    ? path.join(ROOT, page)
    : path.resolve(folder, target);
  if (!fs.existsSync(file)) return true;
  return anchor !== undefined && !anchorsOf(file).has(anchor);
}

describe("links between pages", () => {
  for (const page of listPages()) {
    it(`lead somewhere: ${page}`, () => {
      const links = [...read(path.join(ROOT, page)).matchAll(LINK)];
      const broken = links
        .filter(([, target = "", anchor]) => isBroken(page, target, anchor))
        .map(([link]) => link);
      expect(broken).to.deep.equal([]);
    });
  }
});
