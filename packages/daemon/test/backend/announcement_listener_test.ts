import { fakeBackend, wait } from "@ebonypath/testing";
import { expect } from "chai";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as undici from "undici";
import * as backend from "../../src/backend/mod.ts";

const JOIN_TOKEN = "join-token-of-the-test";
const PATH = "/v1/backend-servers/announcements";

function announcement(fields: object = {}) {
  return { ...new fakeBackend.FakeBackend({ id: "r1" }).describe(), ...fields };
}

interface Case {
  readonly title: string;
  readonly body?: unknown;
  readonly raw?: string;
  readonly token?: string | null;
  readonly path?: string;
  readonly status: number;
}

const CASES: Case[] = [
  { title: "a valid announcement", body: announcement(), status: 204 },
  { title: "no token", token: null, status: 401 },
  { title: "a wrong token", token: "other", status: 401 },
  { title: "an unknown path", path: "/v1/other", status: 404 },
  { title: "malformed JSON", raw: '{"id": ', status: 400 },
  { title: "an empty body", raw: "", status: 400 },
  { title: "a body that is not an object", body: [], status: 400 },
  { title: "a wrong field type", body: announcement({ id: 1 }), status: 400 },
  {
    title: "too much memory",
    body: announcement({ memoryBytes: 2 ** 60 }),
    status: 400,
  },
  {
    title: "negative memory",
    body: announcement({ memoryBytes: -1 }),
    status: 400,
  },
  {
    title: "too much concurrency",
    body: announcement({ concurrency: 1e9 }),
    status: 400,
  },
  {
    title: "a fractional sequence",
    body: announcement({ sequence: 0.5 }),
    status: 400,
  },
  {
    title: "too many services",
    body: announcement({ services: Array(2_000).fill("s") }),
    status: 400,
  },
  {
    title: "an address outside the allowed ranges",
    body: announcement({ address: "http://10.0.0.1:80" }),
    status: 400,
  },
  {
    title: "an address with a host name",
    body: announcement({ address: "http://localhost:80" }),
    status: 400,
  },
  {
    title: "an address with a path",
    body: announcement({ address: "http://127.0.0.1:80/x" }),
    status: 400,
  },
  {
    title: "an address with user information",
    body: announcement({ address: "http://u@127.0.0.1:80" }),
    status: 400,
  },
  {
    title: "an address with an unsupported scheme",
    body: announcement({ address: "file:///etc/passwd" }),
    status: 400,
  },
  {
    title: "a body that is too large",
    raw: JSON.stringify({ id: "x".repeat(2 ** 21) }),
    status: 413,
  },
];

describe("announcement listener", () => {
  const received: unknown[] = [];
  let isCurrent = true;
  let server: http.Server;
  let origin: string;
  let port: number;

  beforeEach(async () => {
    received.length = 0;
    isCurrent = true;
    const handler = backend.createAnnouncementHandler({
      joinToken: JOIN_TOKEN,
      allowedAddresses: ["127.0.0.0/8"],
      isCurrent: () => isCurrent,
      onAnnouncement: (entry) => received.push(entry),
      bodyTimeoutMs: 100,
    });
    server = http.createServer(
      backend.SERVER_OPTIONS,
      (request, response) => void handler(request, response),
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    port = (server.address() as net.AddressInfo).port;
    origin = `http://127.0.0.1:${port}`;
  });

  afterEach(async () => {
    server.closeAllConnections();
    server.close();
    await once(server, "close");
  });

  async function post(entry: Partial<Case>): Promise<number> {
    const token = entry.token === undefined ? JOIN_TOKEN : entry.token;
    const response = await undici.request(origin + (entry.path ?? PATH), {
      method: "POST",
      headers: token === null ? {} : { authorization: `Bearer ${token}` },
      body: entry.raw ?? JSON.stringify(entry.body ?? announcement()),
    });
    const text = await response.body.text();
    if (response.statusCode >= 400) {
      expect(JSON.parse(text)).to.include({
        status: response.statusCode,
        outcome: "not-run",
      });
    }
    return response.statusCode;
  }

  for (const entry of CASES) {
    it(`responds to ${entry.title} with ${entry.status}`, async () => {
      expect(await post(entry)).to.equal(entry.status);
      expect(received.length).to.equal(entry.status === 204 ? 1 : 0);
      expect(await post({})).to.equal(204);
    });
  }

  it("rejects announcements while the host does not follow a leader", async () => {
    isCurrent = false;
    expect(await post({})).to.equal(503);
    expect(received).to.deep.equal([]);
  });

  it("accepts the announcements of a fake backend", async () => {
    await using _fakeServer = await fakeBackend.startFakeBackend({
      id: "r1",
      entries: ["http://127.0.0.1:1", origin],
      joinToken: JOIN_TOKEN,
    });
    await wait.waitFor("an announcement", () => received.length > 0);
  });

  /** Sends raw bytes and returns the status line of the response. */
  async function sendRawBytes(bytes: string, end = false): Promise<string> {
    const socket = net.connect(port, "127.0.0.1");
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (chunk) => text += chunk.toString());
    socket.write(bytes);
    if (end) socket.end();
    await wait.waitFor("the connection to close", () => socket.closed);
    return text.split("\r\n")[0] as string;
  }

  const REQUEST_HEAD = `POST ${PATH} HTTP/1.1\r\nhost: x\r\n` +
    `authorization: Bearer ${JOIN_TOKEN}\r\n`;
  const rawCases = [
    {
      title: "a slow sender",
      bytes: `${REQUEST_HEAD}content-length: 10\r\n\r\n{`,
      end: false,
      status: "408",
    },
    {
      title: "headers that are too large",
      bytes: `${REQUEST_HEAD}x-a: ${"a".repeat(2 ** 15)}\r\n\r\n`,
      end: false,
      status: "431",
    },
    {
      title: "data that is not HTTP",
      bytes: "\x16\x03\x01\x02\x00\r\n\r\n",
      end: false,
      status: "400",
    },
  ];
  for (const { title, bytes, end, status } of rawCases) {
    it(`responds to ${title} with ${status}`, async () => {
      expect(await sendRawBytes(bytes, end)).to.include(` ${status} `);
      expect(await post({})).to.equal(204);
    });
  }

  it("keeps running after a sender closes in the middle of its body", async () => {
    await sendRawBytes(`${REQUEST_HEAD}content-length: 10\r\n\r\n{`, true);
    expect(received).to.deep.equal([]);
    expect(await post({})).to.equal(204);
  });
});
