import { expect } from "chai";
import * as undici from "undici";
import { fileURLToPath } from "node:url";
import * as launcher from "../src/launcher/mod.ts";

const FAKE = fileURLToPath(
  new URL("../src/fake_backend/main.js", import.meta.url),
);

describe("launcher", () => {
  it("runs a fake backend server as a process and kills it", async () => {
    const options = JSON.stringify({ id: "runner-1", kind: "plain" });
    await using fake = launcher.launch(FAKE, [options]);
    const line = await fake.waitForLine(/event=listening/);
    const address = /address=(\S+)/.exec(line)?.[1];
    const answer = await undici.request(`${address}/livez`);
    await answer.body.dump();
    expect(answer.statusCode).to.equal(200);
    await fake.kill9();
    expect(await fake.waitForExit()).to.deep.equal({
      code: null,
      signal: "SIGKILL",
    });
  });

  it("shows the log of a process when a wait fails", async () => {
    await using fake = launcher.launch(FAKE, ["{}"]);
    const failure = await fake.waitForLine(/never/, 50).catch(String);
    expect(failure).to.include("waited 50 ms for a line like /never/");
  });
});
