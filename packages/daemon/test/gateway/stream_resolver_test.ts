import * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import { expect } from "chai";
import * as streamResolver from "../../src/gateway/entry/stream_resolver.ts";
import type * as types from "../../src/gateway/entry/types.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA, identityOf } from "./request_metadata.ts";

const ORIGIN = { service: "advice", softwareVersion: "v1" };
/** Time within which a refusal that is certain comes, in milliseconds. */
const PROMPT_MS = 100;

/** A resolver at a host that has relayed nothing, before a leader. */
class Fixture {
  readonly streams = new core.gateway.OwnStreams({
    server: () => undefined,
    isMixed: () => true,
  });
  readonly metrics = new GatewayMetrics();
  readonly questions: gateway.StreamRequest[] = [];
  /** The leader's answers in order; the last one is repeated. */
  answers: (gateway.StreamOrigin | null)[] = [null];
  readonly resolver = new streamResolver.StreamResolver({
    streams: this.streams,
    metrics: this.metrics,
    service: (name) =>
      name === "advice" ? fixtures.engineService([]) : undefined,
    askLeader: (request) => {
      this.questions.push(request);
      const [answer] = this.answers;
      if (this.answers.length > 1) this.answers.shift();
      return answer === undefined
        ? Promise.reject(new Error("no leader found"))
        : Promise.resolve({ origin: answer });
    },
  });

  /** Resumes the stream of a request; returns its origin, or the refusal. */
  async resume(
    context: types.RequestContext = createContext(),
  ): Promise<string | undefined> {
    const continuation = await this.resolver.resume(context);
    return continuation.kind === "continues"
      ? continuation.context.origin?.softwareVersion ?? undefined
      : continuation.refusal.definition.name;
  }

  async outcomes(): Promise<Record<string, number>> {
    const { values } = await this.metrics.resumptions.get();
    return Object.fromEntries(
      values.map(({ labels, value }) => [labels.outcome, value]),
    );
  }
}

function createContext(
  metadata: Partial<types.RequestMetadata> = {},
  services: readonly string[] = ["advice"],
): types.RequestContext {
  const now = performance.now();
  return {
    metadata: {
      ...EMPTY_METADATA,
      lastEventId: "3",
      resumedRequestId: "r1",
      ...metadata,
    },
    identity: identityOf(),
    route: {
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind: "streaming",
      timeoutMs: 3_000,
      targetMs: 500,
      priority: 1,
      split: services.map((service) => ({ service, weight: 1 })),
      maxAttempts: 2,
      isPublic: true,
      isResumable: true,
    },
    service: fixtures.engineService([], { name: services[0] ?? "" }),
    workspace: undefined,
    arrivedAt: now,
    deadline: now + 3_000,
    queueDeadline: now + 2_900,
    priority: 1,
    isRetryable: true,
    signal: new AbortController().signal,
    failedServers: new Set(),
  };
}

describe("a stream that its caller takes up again", () => {
  it("goes on at the version that this host relayed, without a question", async () => {
    const fixture = new Fixture();
    fixture.streams.begin({
      id: "r1",
      origin: ORIGIN,
      isRouteSplit: false,
      expiresAt: Infinity,
    }, 0);
    expect(await fixture.resume()).to.equal("v1");
    expect(fixture.questions).to.deep.equal([]);
  });

  it("goes on at the version that the leader tells", async () => {
    const fixture = new Fixture();
    fixture.answers = [ORIGIN];
    expect(await fixture.resume()).to.equal("v1");
    expect(fixture.questions)
      .to.deep.equal([{ id: "r1", services: ["advice"] }]);
    expect(await fixture.outcomes()).to.deep.equal({ directed: 1 });
  });

  it("goes on at the service that began it, if the route leads there", async () => {
    const fixture = new Fixture();
    fixture.answers = [ORIGIN];
    const continuation = await fixture.resolver.resume(
      createContext({}, ["other", "advice"]),
    );
    expect(
      continuation.kind === "continues" && continuation.context.service.name,
    ).to.equal("advice");
    expect(await fixture.resume(createContext({}, ["other"])))
      .to.equal("stream-not-resumable");
    expect(await fixture.outcomes())
      .to.deep.equal({ directed: 1, "no-service": 1 });
  });

  it("waits for the report of the host that began it", async () => {
    const fixture = new Fixture();
    fixture.answers = [null, null, ORIGIN];
    expect(await fixture.resume()).to.equal("v1");
    expect(fixture.questions).to.have.length(3);
  });

  it("is refused when its version is not known, never sent by a guess", async () => {
    const fixture = new Fixture();
    expect(await fixture.resume()).to.equal("stream-not-resumable");
    expect(await fixture.outcomes()).to.deep.equal({ unknown: 1 });
  });

  it("is refused at once when its caller doesn't name what it resumes", async () => {
    const fixture = new Fixture();
    const startedAt = performance.now();
    const unnamed = createContext({ resumedRequestId: undefined });
    expect(await fixture.resume(unnamed)).to.equal("stream-not-resumable");
    expect(performance.now() - startedAt).to.be.below(PROMPT_MS);
    expect(fixture.questions).to.deep.equal([
      { id: null, services: ["advice"] },
    ]);
  });

  it("is refused as not run while no leader answers", async () => {
    const fixture = new Fixture();
    fixture.answers = [];
    expect(await fixture.resume()).to.equal("not-current");
  });

  it("is not looked for where the request begins a stream", async () => {
    const fixture = new Fixture();
    const fresh = createContext({ lastEventId: undefined });
    expect(await fixture.resume(fresh)).to.equal(undefined);
    expect(fixture.questions).to.deep.equal([]);
  });
});
