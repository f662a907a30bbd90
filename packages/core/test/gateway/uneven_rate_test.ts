import { expect } from "chai";
import {
  SharedRateLimiter,
  toleratedRate,
  UsageTracker,
} from "../../src/gateway/mod.ts";
import { seededRandom } from "../random.ts";
import * as rateWindows from "./rate_windows.ts";

const { REQUEST_TOKENS } = rateWindows;
const RATE = {
  unit: "tokens",
  perSecond: 20_000,
  burst: 20_000,
  plainTokens: 100,
} as const;
const TOLERANCE = { windowMs: 8_000, overage: 0.1, slack: 11_000 };
const REPORT_INTERVAL_MS = 250;
const CUT_AT = 20_000;
const CUT_MS = 8_000;
const HOST_COUNT = 65;
/** Hosts of a failure domain; the first ones. */
const DOMAIN_HOSTS = 16;

/**
 * Plays requests of one workspace until a failure domain loses the leader, and for
 * some time after it.
 *
 * @param domainPart fraction of the requests that the domain's hosts get
 * @param load requested tokens, as a multiple of the rate
 */
function play(
  domainPart: number,
  load: number,
  seed: number,
): rateWindows.SimulatedRequest[] {
  const random = seededRandom(seed);
  const tracker = new UsageTracker();
  const hosts = Array.from({ length: HOST_COUNT }, () => {
    const limiter = new SharedRateLimiter();
    limiter.setRate("shop", toleratedRate(RATE, TOLERANCE), 0);
    limiter.setHostCount(HOST_COUNT);
    return limiter;
  });
  const report = (host: SharedRateLimiter, name: string, now: number) => {
    const usage = host.usage();
    tracker.recordUsage(name, usage);
    host.acknowledgeUsage(usage);
    host.applyRemoteUsage(1, tracker.othersUsage(name, 0), now);
  };
  const requests = [];
  const everyMs = REQUEST_TOKENS / (load * RATE.perSecond) * 1_000;
  let reportedAt = -Infinity;
  for (let at = 0; at < CUT_AT + CUT_MS; at += everyMs) {
    const isCut = (index: number) => at >= CUT_AT && index < DOMAIN_HOSTS;
    if (at >= reportedAt + REPORT_INTERVAL_MS) {
      hosts.forEach((host, index) => {
        if (!isCut(index)) report(host, `${index}`, at);
      });
      reportedAt = at;
    }
    const index = random() < domainPart
      ? Math.floor(random() * DOMAIN_HOSTS)
      : DOMAIN_HOSTS + Math.floor(random() * (HOST_COUNT - DOMAIN_HOSTS));
    const host = hosts[index]!;
    // Near the rate, hosts report before and after each request.
    if (!isCut(index)) report(host, `${index}`, at);
    const isAdmitted = isCut(index)
      ? host.tryConsumePart("shop", REQUEST_TOKENS, at, random())
      : host.tryConsume("shop", REQUEST_TOKENS, at);
    if (!isCut(index)) report(host, `${index}`, at);
    requests.push({ at, isAdmitted });
  }
  return requests;
}

describe("a rate whose demand is uneven", () => {
  const allowed = rateWindows.allowedTokens(RATE);
  const seeds = Array.from({ length: 10 }, (_, seed) => seed);

  for (const domainPart of [DOMAIN_HOSTS / HOST_COUNT, 0.39, 0.8]) {
    const name = `${domainPart.toFixed(2)} of the requests is cut off`;

    it(`is kept while a failure domain with ${name}`, () => {
      const busiest = seeds.map((seed) =>
        rateWindows.busiestWindow(play(domainPart, 2, seed))
      );
      expect(Math.max(...busiest)).to.be.at.most(allowed);
    });

    // Parts smaller than a request are rounded at random.
    it(`is kept on average at 8 times the rate while one with ${name}`, () => {
      const sum = seeds.reduce(
        (tokens, seed) =>
          tokens + rateWindows.busiestWindow(play(domainPart, 8, seed)),
        0,
      );
      expect(sum / seeds.length).to.be.at.most(allowed);
    });
  }
});
