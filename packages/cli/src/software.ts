/**
 * The version of this program.
 *
 * @module
 */
import * as fs from "node:fs";

const MANIFEST = new URL("../../package.json", import.meta.url);

/** Version of the package. */
export const VERSION: string =
  JSON.parse(fs.readFileSync(MANIFEST, "utf8")).version;
