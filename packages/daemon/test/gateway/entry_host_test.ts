import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import { gateway, replication } from "@ebonypath/protocol";
import { expect } from "chai";
import type * as fleet from "../../src/fleet/mod.ts";
import * as entryHost from "../../src/gateway/entry/entry_host.ts";
import { GatewayMetrics } from "../../src/gateway/metrics.ts";
import * as fixtures from "./fixtures.ts";
import { EMPTY_METADATA } from "./request_metadata.ts";

const SERVICE = { name: "desk", maxConnections: 8, coldRequestsPerSecond: 0 };
/** More requests of other hosts than a server of 8 slots takes. */
const FULL = 99;
const REQUEST_MS = 2_000;

async function listen(server: http.Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as net.AddressInfo).port;
}

describe("a gateway entry host", () => {
  it("sends a request when the leader tells that a full server has room again", async () => {
    const backend = http.createServer((_request, response) => {
      response.end("ok");
    });
    const address = `127.0.0.1:${await listen(backend)}`;
    const watch = fixtures.watchResponse({
      servers: [fixtures.serverRecord("s1", { address, service: "desk" })],
      configuration: fixtures.configuration([], {
        services: [SERVICE],
        routes: [{
          name: "stock",
          host: "h",
          pathPrefix: "/",
          kind: "safe",
          timeoutMs: REQUEST_MS,
          targetMs: 100,
          priority: 1,
          maxAttempts: 1,
          isPublic: true,
          isResumable: false,
          split: [{ service: "desk", weight: 1 }],
        }],
      }),
    });
    let running = FULL;
    let hasTold = false;
    /** Tells the load of the servers of the services that a report names. */
    const answer = (report: gateway.ReportRequest): gateway.ReportResponse => {
      const isNamed = !hasTold ||
        report.requests.some(({ service }) => service === "desk");
      hasTold = true;
      return {
        term: 1,
        hostCount: 2,
        usage: [],
        usageRevision: 0,
        load: isNamed ? [{ server: "s1", running }] : [],
        lent: [],
        forecasts: [],
      };
    };
    const call = async (peer: string, method: string, params: unknown) => {
      if (method === replication.LEADER_METHOD) return { leader: peer };
      if (method === gateway.METHODS.position) throw new Error("no answer");
      if (method === gateway.METHODS.report) {
        return answer(params as gateway.ReportRequest);
      }
      if ((params as gateway.WatchRequest).term === 1) {
        await timers.setTimeout(1_000);
      }
      return watch;
    };
    await using host = new entryHost.EntryHost({
      host: "entry-1",
      dialect: {
        readRequest: () => EMPTY_METADATA,
        upstreamHeaders: () => ["host", "h"],
        readResponse: () => ({
          isNotRun: false,
          reason: "none",
          identity: "none",
          isSigned: true,
          isEventStream: false,
          isLeaving: false,
          closedMs: undefined,
        }),
        responseHeaders: () => [],
        refusalHeaders: () => ({}),
      },
      rpcClient: { call } as unknown as fleet.RpcClient,
      seeds: () => ["control-1"],
      retryBudget: { ratio: 0.2, slack: 54, windowMs: 10_000 },
      maxConfigurationAgeMs: 1_000,
      confirmationAgeMs: 1_000,
      metrics: new GatewayMetrics(),
    });
    const server = http.createServer((request, response) =>
      void host.handle(request, response)
    );
    const port = await listen(server);
    host.start();
    await host.view.firstConfiguration;
    await timers.setTimeout(600);
    try {
      const request = http.get({ port, headers: { host: "h" }, agent: false });
      const answered = once(request, "response");
      await timers.setTimeout(100);
      running = 0;
      const [response] = await answered as [http.IncomingMessage];
      response.resume();
      expect(response.statusCode).to.equal(200);
    } finally {
      server.closeAllConnections();
      server.close();
      backend.closeAllConnections();
      backend.close();
    }
  });
});
