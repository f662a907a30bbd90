import { expect } from "chai";
import * as undici from "undici";
import { fileURLToPath } from "node:url";
import { settings } from "@ebonypath/protocol";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as freePort from "../src/free_port.ts";
import * as launcher from "../src/launcher/mod.ts";
import * as wait from "../src/wait.ts";

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

  it("writes settings that the daemon accepts", async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
    const file = await launcher.writeSettings(folder, {
      name: "host-1",
      failureDomain: "fd-1",
      isControl: true,
      fleet: "127.0.0.1:7101",
      fleetAdvertised: "127.0.0.1:7001",
      controlHosts: ["127.0.0.1:7001"],
      initialVoters: ["127.0.0.1:7001"],
      limits: { "drain_delay_ms": 10 },
    });
    const text = await fs.readFile(file, "utf8");
    await fs.rm(folder, { recursive: true });
    expect(settings.parseSettings(text, file).limits.drainDelayMs).to.equal(10);
  });

  it("tells the link of a connection by the address that opened it", async () => {
    const options = JSON.stringify({ id: "runner-1" });
    await using target = launcher.launch(FAKE, [options]);
    const line = await target.waitForLine(/event=listening/);
    const address = /address=http:\/\/(\S+)/.exec(line)?.[1] as string;
    const port = await freePort.freePort();
    await using links = await launcher.Links.start(
      [{ name: "b", target: address, port, source: "127.0.1.2" }, {
        name: "a",
        target: address,
        port: await freePort.freePort(),
        source: "127.0.1.1",
      }],
    );
    const dispatcher = new undici.Agent({ localAddress: "127.0.1.1" });
    const get = () =>
      undici.request(`http://127.0.0.1:${port}/livez`, {
        dispatcher,
        signal: AbortSignal.timeout(200),
      }).then(async (answer) => await answer.body.text());
    await get();
    expect(links.link("a", "b").toTarget.bytes).to.be.greaterThan(0);
    links.isolate("b");
    expect(await get().catch((error: Error) => error.name))
      .to.equal("TimeoutError");
    links.heal("b");
    await wait.waitFor("the link", get);
  });
});
