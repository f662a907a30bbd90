import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { expect } from "chai";
import * as fleet from "../../src/fleet/mod.ts";
import * as operators from "../../src/operators/mod.ts";
import * as fake from "./fake_control.ts";

const ADMIN = "admin-token-0123456789";
const READER = "reader-token-0123456789";
const MAX_BYTES = 20_000;
const EMPTY = { workspaces: [], services: [] };
const GRANT = {
  changeId: "c-1",
  keyId: "k-1",
  digest: "a".repeat(64),
  workspace: "web",
};

interface Case {
  readonly title: string;
  readonly method?: string;
  readonly path: string;
  readonly token?: string | null;
  readonly body?: unknown;
  readonly status: number;
  readonly detail?: RegExp;
}

const BAD_INPUT: readonly Case[] = [
  { title: "no token", path: "/v1/status", token: null, status: 401 },
  { title: "an unknown token", path: "/v1/status", token: "x", status: 401 },
  {
    title: "an overlong token",
    path: "/v1/status",
    token: "x".repeat(5_000),
    status: 401,
  },
  { title: "an unknown path", path: "/v1/none", status: 404 },
  { title: "a path above the root", path: "/v1/../../etc/passwd", status: 404 },
  { title: "a wrong method", method: "PUT", path: "/v1/keys", status: 405 },
  {
    title: "a broken escape",
    method: "DELETE",
    path: "/v1/keys/%zz",
    status: 400,
  },
  {
    title: "a name with control characters",
    method: "DELETE",
    path: "/v1/keys/a%0d%0ab?change_id=c",
    status: 400,
  },
  {
    title: "a missing change id",
    method: "DELETE",
    path: "/v1/keys/k-1",
    status: 400,
    detail: /change_id/,
  },
  {
    title: "a body that is not JSON",
    method: "POST",
    path: "/v1/keys",
    body: "{",
    status: 400,
    detail: /not JSON/,
  },
  {
    title: "a body that is not UTF-8",
    method: "POST",
    path: "/v1/keys",
    body: Buffer.from([0xff]),
    status: 400,
    detail: /not JSON/,
  },
  {
    title: "a question without a target",
    path: "/v1/explanation",
    status: 400,
    detail: /target/,
  },
  {
    title: "a question with tokens that are no number",
    path: "/v1/explanation?target=a/b&tokens=many",
    status: 400,
    detail: /tokens/,
  },
  { title: "no body", method: "POST", path: "/v1/keys", status: 400 },
  {
    title: "wrong types",
    method: "POST",
    path: "/v1/keys",
    body: { ...GRANT, keyId: 7 },
    status: 400,
    detail: /keyId/,
  },
  {
    title: "a key in place of its digest",
    method: "POST",
    path: "/v1/keys",
    body: { ...GRANT, digest: "ep_abc" },
    status: 400,
    detail: /digest/,
  },
  {
    title: "an unknown member",
    method: "POST",
    path: "/v1/keys",
    body: { ...GRANT, extra: 1 },
    status: 400,
    detail: /extra/,
  },
  {
    title: "a body over the limit",
    method: "POST",
    path: "/v1/configuration",
    body: "x".repeat(MAX_BYTES + 1),
    status: 413,
  },
  {
    title: "a negative base",
    method: "POST",
    path: "/v1/configuration",
    body: { base: -1, changeId: "c", configuration: EMPTY },
    status: 400,
    detail: /base/,
  },
  {
    title: "an unknown workspace",
    method: "POST",
    path: "/v1/configuration",
    body: { base: 5, changeId: "c", configuration: withUnknownWorkspace() },
    status: 400,
    detail: /unknown workspace "nobody"/,
  },
  {
    title: "a version that is not a number",
    path: "/v1/configuration/latest",
    status: 400,
  },
  {
    title: "a version that is not kept",
    path: "/v1/configuration/4",
    status: 404,
  },
  {
    title: "a host name as address",
    method: "POST",
    path: "/v1/members/add",
    body: { changeId: "c", address: "example:1" },
    status: 400,
    detail: /address/,
  },
  {
    title: "a malformed fingerprint",
    method: "DELETE",
    path: "/v1/quarantine/zz?change_id=c",
    status: 400,
  },
  {
    title: "a malformed audit cursor",
    path: "/v1/audit?after=x",
    status: 400,
  },
];

const READER_CALLS: readonly [method: string, path: string, status: number][] =
  [
    ["GET", "/v1/configuration", 200],
    ["GET", "/v1/keys", 200],
    ["GET", "/v1/audit", 200],
    ["POST", "/v1/configuration", 403],
    ["POST", "/v1/keys", 403],
    ["DELETE", "/v1/keys/k-1", 403],
    ["POST", "/v1/failure-domains/fd-1/withdraw", 403],
    ["POST", "/v1/failure-domains/fd-1/restore", 403],
    ["POST", "/v1/members/add", 403],
    ["POST", "/v1/members/remove", 403],
    ["POST", "/v1/members/replace", 403],
    ["DELETE", "/v1/quarantine/0123456789abcdef", 403],
  ];

const COMMAND_RESULTS: readonly [
  setUp: (control: fake.FakeControl) => void,
  status: number,
  outcome: string,
][] = [
  [
    (c) =>
      c.result = {
        kind: "version-conflict",
        version: 9,
        operator: "b",
        timeMs: 1,
      },
    409,
    "not-run",
  ],
  [(c) => c.result = { kind: "invalid", reason: "r" }, 400, "not-run"],
  [(c) => c.result = { kind: "not-found", reason: "r" }, 404, "not-run"],
  [(c) => c.result = { kind: "full", reason: "r" }, 507, "not-run"],
  [
    (c) => c.failure = new fleet.Unreachable("propose", "h", "refused"),
    503,
    "not-run",
  ],
  [
    (c) => c.failure = new fleet.RemoteError("propose", "h", "none", -32601),
    501,
    "not-run",
  ],
  [
    (c) => c.failure = new fleet.RemoteError("propose", "h", "fault", -32603),
    504,
    "may-have-run",
  ],
  [
    (c) => c.failure = new fleet.OutcomeUnknown("propose", "h", "reset"),
    504,
    "may-have-run",
  ],
  [(c) => c.failure = new Error("boom"), 500, "may-have-run"],
];

describe("operators' interface", () => {
  let control: fake.FakeControl;
  let server: http.Server;
  let origin: string;
  let logged: string[];

  beforeEach(async () => {
    control = new fake.FakeControl();
    logged = [];
    const handler = operators.createOperatorsHandler({
      operators: [
        { name: "admin", token: ADMIN, rights: ["read", "publish", "operate"] },
        { name: "reader", token: READER, rights: ["read"] },
      ],
      control,
      limits: { maxBytes: MAX_BYTES, timeoutMs: 100 },
      isAlive: () => true,
      renderMetrics: () => Promise.resolve("up 1\n"),
      log: (event, fields) => logged.push(JSON.stringify({ event, ...fields })),
    });
    server = http.createServer(handler);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    origin = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  async function call(
    method: string,
    path: string,
    token: string | null,
    body?: unknown,
  ) {
    const headers: Record<string, string> = token === null
      ? {}
      : { authorization: `Bearer ${token}` };
    const isRaw = typeof body === "string" || body instanceof Buffer;
    const response = await fetch(origin + path, {
      method,
      headers,
      ...(body === undefined
        ? {}
        : { body: isRaw ? body : JSON.stringify(body) }),
    });
    const text = await response.text();
    return {
      response,
      text,
      json: text.startsWith("{") ? JSON.parse(text) : {},
    };
  }

  for (
    const { title, method = "GET", path, token = ADMIN, body, status, detail }
      of BAD_INPUT
  ) {
    it(`answers ${status} to ${title}`, async () => {
      const { response, json } = await call(method, path, token, body);
      expect(response.status, JSON.stringify(json)).to.equal(status);
      expect(response.headers.get("content-type")).to.equal(
        "application/problem+json",
      );
      expect(json.outcome).to.equal("not-run");
      expect(json.hint).to.be.a("string");
      if (detail !== undefined) expect(json.detail).to.match(detail);
      expect(control.proposed).to.deep.equal([]);
      expect(control.memberChanges).to.deep.equal([]);
      expect((await call("GET", "/livez", null)).text).to.equal("ok\n");
    });
  }

  for (const [method, path, status] of READER_CALLS) {
    it(`answers ${status} to a reader's ${method} ${path}`, async () => {
      const { response } = await call(method, path, READER);
      expect(response.status).to.equal(status);
      expect(control.proposed).to.deep.equal([]);
    });
  }

  for (const [setUp, status, outcome] of COMMAND_RESULTS) {
    it(`answers ${status} with outcome ${outcome}`, async () => {
      setUp(control);
      const { response, json } = await call("POST", "/v1/keys", ADMIN, GRANT);
      expect(response.status).to.equal(status);
      expect(json.outcome).to.equal(outcome);
      expect(response.headers.get("ebonypath-outcome")).to.equal(outcome);
    });
  }

  // A process that wakes reads changes that were given up long ago.
  it("makes no change of an operator that left before it was read", async () => {
    const socket = net.connect(Number(new URL(origin).port), "127.0.0.1");
    await once(socket, "connect");
    socket.end(
      "DELETE /v1/keys/k-1?change_id=c-2 HTTP/1.1\r\n" +
        `Host: h\r\nAuthorization: Bearer ${ADMIN}\r\n\r\n`,
    );
    socket.resume();
    await once(socket, "close");
    while (logged.length === 0) await timers.setTimeout(5);
    expect(logged.join()).to.include("the operator has left");
    expect(control.proposed).to.deep.equal([]);
  });

  it("forwards changes with the operator's name", async () => {
    const publish = { base: 5, changeId: "c-1", configuration: EMPTY };
    expect((await call("POST", "/v1/configuration", ADMIN, publish)).json).to
      .deep.equal({ index: 7 });
    await call("POST", "/v1/keys", ADMIN, GRANT);
    await call("DELETE", "/v1/keys/k-1?change_id=c-2", ADMIN);
    await call("POST", "/v1/failure-domains/fd-1/withdraw", ADMIN, {
      changeId: "c-3",
    });
    await call("POST", "/v1/failure-domains/fd-1/restore", ADMIN, {
      changeId: "c-4",
    });
    await call(
      "DELETE",
      "/v1/quarantine/0123456789abcdef?change_id=c-5",
      ADMIN,
    );
    const operator = "admin";
    expect(control.proposed).to.deep.equal([
      { kind: "publish", operator, ...publish },
      { kind: "grant-key", operator, ...GRANT, label: "" },
      { kind: "withdraw-key", operator, changeId: "c-2", keyId: "k-1" },
      {
        kind: "withdraw-failure-domain",
        operator,
        changeId: "c-3",
        failureDomain: "fd-1",
      },
      {
        kind: "restore-failure-domain",
        operator,
        changeId: "c-4",
        failureDomain: "fd-1",
      },
      {
        kind: "release-quarantine",
        operator,
        changeId: "c-5",
        fingerprint: "0123456789abcdef",
      },
    ]);
    const add = { changeId: "c-6", address: "127.0.0.1:7004" };
    const result = await call("POST", "/v1/members/replace", ADMIN, {
      ...add,
      id: "m-1",
    });
    expect(result.json).to.deep.equal({ index: 8 });
    expect(control.memberChanges).to.deep.equal([{
      kind: "replace",
      operator,
      ...add,
      id: "m-1",
    }]);
  });

  it("returns the winner of a publish conflict", async () => {
    control.result = {
      kind: "version-conflict",
      version: 9,
      operator: "b",
      timeMs: 1,
    };
    const body = { base: 5, changeId: "c", configuration: EMPTY };
    const { json } = await call("POST", "/v1/configuration", ADMIN, body);
    expect(json.winner).to.deep.equal({ version: 9, operator: "b", timeMs: 1 });
  });

  it("lists keys without their digests", async () => {
    control.keys = [{
      id: "k",
      digest: "d".repeat(64),
      workspace: "web",
      label: "",
      grantedMs: 1,
    }];
    const { text } = await call("GET", "/v1/keys", READER);
    expect(text).to.contain('"id":"k"').and.not.contain("dddd");
  });

  it("pages the audit trail", async () => {
    const text = {
      operator: "a",
      changeId: "c",
      action: "publish",
      subject: "s",
      contentDigest: "",
      previous: "",
      digest: "",
    };
    control.audit = Array.from(
      { length: 501 },
      (_, i) => ({ index: i + 1, timeMs: 0, ...text }),
    );
    const first = (await call("GET", "/v1/audit", READER)).json;
    expect([first.entries.length, first.more]).to.deep.equal([500, true]);
    const second = (await call("GET", "/v1/audit?after=500", READER)).json;
    expect([second.entries.length, second.more]).to.deep.equal([1, false]);
  });

  it("answers 408 to a client that stalls within the body", async () => {
    const socket = net.connect(Number(new URL(origin).port), "127.0.0.1");
    socket.write(
      `POST /v1/keys HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${ADMIN}\r\ncontent-length: 9\r\n\r\n{`,
    );
    const [answer] = await once(socket, "data");
    expect(String(answer)).to.match(/^HTTP\/1.1 408 /);
    socket.destroy();
    expect(control.proposed).to.deep.equal([]);
  });

  it("survives a client that resets the connection within the body", async () => {
    const socket = net.connect(Number(new URL(origin).port), "127.0.0.1");
    socket.write(
      `POST /v1/keys HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${ADMIN}\r\ncontent-length: 9\r\n\r\n{`,
    );
    await once(server, "request");
    socket.resetAndDestroy();
    expect((await call("GET", "/metrics", null)).text).to.equal("up 1\n");
    expect(control.proposed).to.deep.equal([]);
  });

  it("does not log tokens", async () => {
    await call("GET", "/v1/none", ADMIN);
    expect(logged.join()).to.contain("no-such-item").and.not.contain(ADMIN);
  });
});

function withUnknownWorkspace(): unknown {
  const tiers = [{
    name: "now",
    maxWaitMs: 1_000,
    priceFactor: 1,
    delivery: "connected",
  }];
  const models = [{ name: "m", bytes: 1 }];
  const service = {
    name: "s",
    kind: "model",
    models,
    workspaces: ["nobody"],
    tiers,
  };
  return { workspaces: [], services: [service] };
}
