/**
 * Runs a fake backend server as a process of its own. Its only argument is a
 * JSON object of options; it prints `event=listening address=…` when ready.
 *
 * @module
 */
import process from "node:process";
import * as fakeBackend from "./fake_backend.ts";
import type * as types from "./types.ts";

const options = JSON.parse(
  process.argv[2] ?? "{}",
) as types.FakeBackendOptions;
const fake = await fakeBackend.startFakeBackend(options);
console.log(
  `event=listening address=${fake.address} incarnation=${fake.incarnation}`,
);

process.on("SIGTERM", async () => {
  await fake[Symbol.asyncDispose]();
  process.exit(0);
});
