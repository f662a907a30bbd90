import { wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as undici from "undici";
import * as scenarios from "./scenario.ts";

const DRAIN_DELAY_MS = 500;
/** Size of the largest answer of the fixture. */
const LARGE_BYTES = 12 * 2 ** 20;
/** Tokens of a stream of the fixture. */
const STREAMED_TOKENS = 40_000;
/** Callers that keep their connection. */
const KEPT_CONNECTIONS = 20;

/** Error of a connection that no host takes. */
const REFUSED = "ECONNREFUSED";

/** One connection that is kept between calls. */
class KeptConnection implements AsyncDisposable {
  readonly dispatcher: undici.Client;
  /** Answers on the connection that is open now. */
  answers = 0;

  constructor(origin: string) {
    this.dispatcher = new undici.Client(origin);
    this.dispatcher.on("connect", () => this.answers = 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.dispatcher.destroy();
  }
}

describe("a host that gets SIGTERM", () => {
  let scenario: scenarios.Scenario;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 4,
      voters: 3,
      configuration: scenarios.withDeferredOrders(),
      limits: {
        "max_body_bytes": 2 * LARGE_BYTES,
        "drain_delay_ms": DRAIN_DELAY_MS,
      },
      engines: [{ generatedTokens: STREAMED_TOKENS }],
      plains: [{ callMs: 200 }, { callMs: 200 }],
    });
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  afterEach(async () => {
    await scenario.fleet.host(3).restart();
    await scenario.waitUntilServing();
    expect(scenario.violations).to.deep.equal([]);
  });

  async function expectCleanExit(host: number): Promise<void> {
    const exit = await scenario.fleet.host(host).process.waitForExit();
    expect(exit).to.deep.equal({ code: 0, signal: null });
  }

  it("cuts nothing on connections that callers keep", async () => {
    const { callers, process } = scenario.fleet.host(3);
    const asked = scenario.caller(3);
    const path = "/services/orders/stock/kept";
    let answered = 0;
    /**
     * Calls until the host takes no connection; returns what ended it. One
     * that the host had not accepted when it closed its listener is reset.
     */
    const run = async (): Promise<string> => {
      await using client = new KeptConnection(callers);
      const { dispatcher } = client;
      while (true) {
        try {
          const reply = await asked.call("GET", path, { dispatcher });
          expect(reply.status, reply.text).to.equal(200);
          answered += 1;
          client.answers += 1;
        } catch (error) {
          const { code, syscall } = error as NodeJS.ErrnoException;
          const wasTaken = client.answers > 0 && syscall !== "connect";
          if (code === "ECONNRESET" && !wasTaken) return REFUSED;
          return code === REFUSED ? code : `${code ?? error} of ${syscall}`;
        }
      }
    };
    const runs = Array.from({ length: KEPT_CONNECTIONS }, run);
    await wait.waitFor("traffic", () => answered > KEPT_CONNECTIONS);
    process.signal("SIGTERM");
    expect(new Set(await Promise.all(runs))).to.have.keys(REFUSED);
    await expectCleanExit(3);
    const executed = scenario.plains
      .flatMap(({ journal }) => journal.calls)
      .filter((call) => call.path.endsWith("/stock/kept"));
    expect(executed).to.have.length(answered);
  });
});
