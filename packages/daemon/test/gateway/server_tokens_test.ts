import { expect } from "chai";
import * as serverTokens from "../../src/gateway/entry/server_tokens.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA } from "./request_metadata.ts";

const SERVER = fixtures.serverRecord("s1");

/** A request for a model with a prompt of 1,000 tokens. */
function context(): types.RequestContext {
  const metadata = {
    ...EMPTY_METADATA,
    model: "m1",
    tokens: 1_200,
    promptTokens: 1_000,
  };
  const service = fixtures.engineService([]);
  return { metadata, service } as unknown as types.RequestContext;
}

describe("tokens at servers", () => {
  it("counts a prompt as unread until the first event, its memory until the end", () => {
    const tokens = new serverTokens.ServerTokens();
    const request = context();
    tokens.start("s1", request, 0, 0);
    expect(tokens.aheadTokens("s1", "advice", 10)).to.equal(1_000);
    tokens.recordFirstEvent(SERVER, request, 100);
    expect(tokens.aheadTokens("s1", "advice", 100)).to.equal(0);
    expect(tokens.reservedTokens("s1", 100)).to.equal(1_200);
    tokens.end("s1", request);
    expect(tokens.reservedTokens("s1", 100)).to.equal(0);
  });

  it("reports a late first event as slower than expected, once", () => {
    const tokens = new serverTokens.ServerTokens();
    const request = context();
    tokens.start("s1", request, 0, 0);
    tokens.recordFirstEvent(SERVER, request, 700);
    tokens.end("s1", request);
    const [load, ...others] = tokens.takeLoad();
    expect(others).to.have.lengthOf(0);
    expect(load).to.include({ server: "s1", model: "m1", running: 0 });
    expect(load?.observed?.logRatio).to.be.closeTo(Math.log(10), 0.1);
    expect(tokens.takeLoad()).to.have.lengthOf(0);
  });

  it("counts what other hosts have to read as being read since it was told", () => {
    const tokens = new serverTokens.ServerTokens();
    const told = { server: "s1", running: 1, unreadTokens: 4_000 };
    tokens.applyFleetLoad([told], 0);
    expect(tokens.aheadTokens("s1", "advice", 100)).to.be.closeTo(2_000, 10);
    expect(tokens.aheadTokens("s1", "advice", 300)).to.equal(0);
  });

  it("forgets paces and other hosts' tokens without a leader", () => {
    const tokens = new serverTokens.ServerTokens();
    const load = { server: "s1", running: 1, reservedTokens: 900, pace: 1.6 };
    tokens.applyFleetLoad([load], 0);
    expect(tokens.paceOf("s1", 9_000)).to.equal(1.6);
    expect(tokens.reservedTokens("s1", 2_100)).to.equal(0);
    expect(tokens.paceOf("s1", 10_100)).to.equal(1);
  });
});
