/**
 * Crowds of clients that stay inside no limit, before a daemon with little memory
 * (`npm run test:crowds`).
 */
import * as url from "node:url";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";

/** Memory of a daemon with a heap of 64 MB, in kibibytes. */
const MAX_MEMORY_KIB = 200 * 1_000;
/** The settings allow 120 connections a listener; the rest is the daemon's own. */
const MAX_DESCRIPTORS = 200;
/** Time within which an ordinary request is to be answered, in milliseconds. */
const SERVING_TIMEOUT_MS = 20_000;
const LIMITS = {
  "max_connections": 120,
  "max_body_bytes": 4_194_304,
  "header_timeout_ms": 2_000,
  "body_timeout_ms": 2_000,
};
const DAEMON = url.fileURLToPath(
  new URL("../../src/main.js", import.meta.url),
);
const ANNOUNCEMENT = "POST /v1/backend-servers/announcements";

const { crowd } = testing;
type Listener = "callers" | "backends" | "operators" | "fleet";
const CASES: readonly [Listener, testing.crowd.CrowdBehaviour][] = [
  ["callers", crowd.requestsAhead("GET /readyz")],
  ["callers", crowd.requestsAhead("GET /none")],
  ["callers", crowd.smallChunks("POST /v1/none", 500_000)],
  ["backends", crowd.smallChunks(ANNOUNCEMENT, 500_000)],
  ["operators", crowd.requestsAhead("GET /metrics")],
  ["operators", crowd.smallChunks("POST /metrics", 500_000)],
  ["fleet", crowd.requestsAhead("GET /rpc")],
  ["fleet", crowd.smallChunks("POST /rpc", 500_000)],
  ...crowd.quiet("POST /v1/none").map((behaviour) =>
    ["callers", behaviour] as [Listener, testing.crowd.CrowdBehaviour]
  ),
];

describe("crowds of untrusted clients before a daemon", function () {
  this.timeout(120_000);
  let fleet: testing.launcher.Fleet;

  before(async () => {
    fleet = await testing.launcher.startFleet({
      daemonPath: DAEMON,
      hosts: 1,
      limits: LIMITS,
      env: {
        NODE_OPTIONS: "--max-old-space-size=64 --max-semi-space-size=2",
      },
    });
  });

  after(() => fleet?.[Symbol.asyncDispose]());

  async function callUntilServed(): Promise<number> {
    return await testing.wait.waitFor("an ordinary answer", async () => {
      const response = await fetch(`${fleet.host(0).callers}/readyz`, {
        signal: AbortSignal.timeout(3_000),
        headers: { connection: "close" },
      }).catch(() => undefined);
      await response?.text().catch(() => "");
      return response?.status === 200 ? response.status : undefined;
    }, { timeoutMs: SERVING_TIMEOUT_MS });
  }

  for (const [listener, behaviour] of CASES) {
    it(`do not use it up: ${listener}: ${behaviour.name}`, async () => {
      const host = fleet.host(0);
      if (!host.isRunning) {
        host.launch();
        await host.waitUntilReady();
      }
      await callUntilServed();
      const address = listener === "fleet"
        ? host.options.fleetAddress
        : new URL(host[listener]).host;
      const seen = await crowd.press(
        behaviour,
        address,
        host.process.pid,
        callUntilServed,
      );
      expect(host.isRunning, "the process runs").to.equal(true);
      expect(seen.peakMemoryKib).to.be.at.most(MAX_MEMORY_KIB);
      expect(seen.descriptors).to.be.at.most(MAX_DESCRIPTORS);
      expect(seen.status).to.equal(200);
    });
  }
});
