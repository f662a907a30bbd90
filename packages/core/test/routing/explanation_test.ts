import { expect } from "chai";
import * as routing from "../../src/routing/mod.ts";

const FREE: routing.ServerOutlook = {
  server: "e-1",
  failureDomain: "fd-1",
  isUsable: true,
  isInWithdrawnDomain: false,
  model: "ready",
  isEjected: false,
  freeSlots: 2,
};
const RATE = {
  availableTokens: 1_000,
  tokensPerSecond: 100,
  tokensAhead: 0,
  burst: 5_000,
};
const CALM: routing.StartOutlook = {
  isCurrent: true,
  tokens: 900,
  rate: RATE,
  servers: [FREE, { ...FREE, server: "e-2", freeSlots: 7 }],
  queueWaitMs: 0,
  latestStartMs: 2_000,
};

const FORECASTS: readonly {
  readonly title: string;
  readonly outlook: Partial<routing.StartOutlook>;
  readonly forecast: routing.StartForecast;
}[] = [
  {
    title: "names the servers with room, the freest one first",
    outlook: {},
    forecast: { kind: "starts", servers: ["e-2", "e-1"] },
  },
  {
    title: "needs no rate on an open route",
    outlook: { rate: undefined, tokens: 9_000 },
    forecast: { kind: "starts", servers: ["e-2", "e-1"] },
  },
  {
    title: "waits for a leader before all else",
    outlook: { isCurrent: false, tokens: 9_000 },
    forecast: { kind: "waits", for: "leader", expectedMs: undefined },
  },
  {
    title: "refuses what exceeds the burst",
    outlook: { tokens: 5_001 },
    forecast: { kind: "refused", for: "burst", lateMs: Infinity },
  },
  {
    title: "waits for tokens, after those who wait already",
    outlook: { rate: { ...RATE, tokensAhead: 250 } },
    forecast: { kind: "waits", for: "tokens", expectedMs: 1_500 },
  },
  {
    title: "refuses what gets its tokens too late",
    outlook: { rate: { ...RATE, tokensAhead: 400 } },
    forecast: { kind: "refused", for: "tokens", lateMs: 1_000 },
  },
  {
    title: "does not know when a share comes where there is none",
    outlook: { rate: { ...RATE, availableTokens: 0, tokensPerSecond: 0 } },
    forecast: { kind: "waits", for: "tokens", expectedMs: undefined },
  },
  {
    title: "waits for those before it in the queue",
    outlook: { queueWaitMs: 300 },
    forecast: { kind: "waits", for: "slot", expectedMs: 300 },
  },
  {
    title: "refuses what its queue serves too late",
    outlook: { queueWaitMs: 2_500 },
    forecast: { kind: "refused", for: "slot", lateMs: 500 },
  },
  {
    title: "waits for a slot where the model is ready",
    outlook: { servers: [{ ...FREE, freeSlots: 0 }] },
    forecast: { kind: "waits", for: "slot", expectedMs: undefined },
  },
  {
    title: "waits for a load where no usable server has the model",
    outlook: {
      servers: [{ ...FREE, model: "absent" }, { ...FREE, isUsable: false }],
    },
    forecast: { kind: "waits", for: "load", expectedMs: undefined },
  },
];

describe("forecastStart", () => {
  for (const { forecast, outlook, title } of FORECASTS) {
    it(title, () => {
      expect(routing.forecastStart({ ...CALM, ...outlook }))
        .to.deep.equal(forecast);
    });
  }
});

describe("obstaclesOf", () => {
  it("finds nothing against a server with room", () => {
    expect(routing.obstaclesOf(FREE)).to.deep.equal([]);
  });

  it("names all that speaks against a server", () => {
    const outlook: routing.ServerOutlook = {
      ...FREE,
      isUsable: false,
      isInWithdrawnDomain: true,
      model: "loading",
      isEjected: true,
      freeSlots: 0,
    };
    expect(routing.obstaclesOf(outlook)).to.deep.equal([
      "unusable",
      "withdrawn-failure-domain",
      "model-loading",
      "ejected",
      "no-free-slot",
    ]);
  });
});
