import { readFileSync } from "node:fs";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { type operators, serviceFile } from "@ebonypath/protocol";
import * as testing from "@ebonypath/testing";
import { expect } from "chai";
import * as program from "../src/program.ts";
import * as fake from "./fake_server.ts";

const EXAMPLES = path.resolve(import.meta.dirname, "../../../../examples");
const MAIN = path.resolve(import.meta.dirname, "../src/main.js");
const TOKEN = "admin-token-0123456789";

const HOST = {
  name: "host-1",
  incarnation: "i",
  failureDomain: "fd-1",
  roles: ["entry"],
  index: 9,
  version: 9,
  current: true,
  silentMs: 1,
};
const EXPLANATION: operators.Explanation = {
  host: { name: "host-1", incarnation: "i-1", failureDomain: "fd-1" },
  version: 5,
  target: "advice/last",
  workspace: "web-shop",
  tier: {
    name: "now",
    maxWaitMs: 5_000,
    priceFactor: 1,
    delivery: "connected",
  },
  tokens: 300,
  rate: {
    availableTokens: 900,
    tokensPerSecond: 100,
    tokensAhead: 0,
    burst: 2_000,
  },
  latestStartMs: 4_000,
  candidates: [{
    server: "e-1",
    failureDomain: "fd-1",
    freeSlots: 0,
    running: 4,
    obstacles: ["no-free-slot"],
  }],
  forecast: { kind: "waits", for: "slot", expectedMs: 400 },
};
const HOSTS: fake.FakeAnswer = [200, { hosts: [HOST] }];
const EMPTY = { workspaces: [], services: [] };
const IN_FORCE: fake.FakeAnswer = [200, published(5, EMPTY)];
const ACCEPTED: fake.FakeAnswer = [200, { index: 9 }];

interface Case {
  readonly title: string;
  readonly argv: readonly string[];
  readonly answers?: fake.FakeAnswers;
  readonly exit: number;
  readonly says: RegExp;
}

const CASES: readonly Case[] = [
  {
    title: "validates the examples",
    argv: ["validate", EXAMPLES],
    exit: 0,
    says: /valid: 2 files/,
  },
  {
    title: "refuses a missing folder",
    argv: ["validate", "/nonexistent"],
    exit: 2,
    says: /can't be read: ENOENT/,
  },
  {
    title: "refuses a number that is none",
    argv: ["rollback", "x"],
    exit: 2,
    says: /not a whole number/,
  },
  {
    title: "refuses an argument too many",
    argv: ["key", "list", "x"],
    exit: 2,
    says: /one argument too many/,
  },
  {
    title: "refuses an option given twice",
    argv: ["key", "list", "--timeout", "1", "--timeout", "2"],
    exit: 2,
    says: /stands twice/,
  },
  {
    title: "refuses an option without value",
    argv: ["key", "grant", "web", "--label"],
    exit: 2,
    says: /has no value/,
  },
  {
    title: "refuses a bad change id",
    argv: ["key", "withdraw", "k", "--change-id", "a b"],
    exit: 2,
    says: /not an id/,
  },
  {
    title: "refuses a bad address",
    argv: ["members", "add", "localhost:1"],
    exit: 2,
    says: /not an address/,
  },
  {
    title: "refuses a bad time",
    argv: ["audit", "--since", "yesterdayish"],
    exit: 2,
    says: /neither a time nor/,
  },
  {
    title: "refuses a bad fingerprint",
    argv: ["quarantine", "release", "zz"],
    exit: 2,
    says: /not a fingerprint/,
  },
  {
    title: "explains where a request would go",
    argv: ["explain", "advice/last", "--key", "k-1"],
    answers: { "GET /v1/explanation": [[200, EXPLANATION]] },
    exit: 0,
    says:
      /e-1 +fd-1 +0 +4 +no-free-slot[^]*waits for a free slot, some 0\.40 s/,
  },
  {
    title: "tells a refusal with its hint",
    argv: ["key", "list"],
    answers: { "GET /v1/keys": [[403, fake.problem(403, "no right")]] },
    exit: 1,
    says: /Refused: no right[^]*hint: do otherwise/,
  },
  {
    title: "tells a server of another kind",
    argv: ["key", "list"],
    answers: { "GET /v1/keys": [[418, "tea"]] },
    exit: 1,
    says: /answered 418/,
  },
  {
    title: "tells an answer of another version",
    argv: ["key", "list"],
    answers: { "GET /v1/keys": [[200, { keys: 7 }]] },
    exit: 3,
    says: /unknown form: keys/,
  },
  {
    title: "gives up without a leader",
    argv: ["key", "withdraw", "k-1"],
    answers: { "DELETE /v1/keys/k-1": [[503, fake.problem(503, "no leader")]] },
    exit: 3,
    says: /nothing was changed/,
  },
  {
    title: "tells an unknown outcome",
    argv: ["key", "withdraw", "k-1"],
    answers: { "DELETE /v1/keys/k-1": ["cut"] },
    exit: 3,
    says: /outcome of the change is not known/,
  },
  {
    title: "doesn't take a refusal for an outcome",
    argv: ["key", "withdraw", "k-1"],
    answers: {
      "DELETE /v1/keys/k-1": ["cut", [401, fake.problem(401, "unknown token")]],
    },
    exit: 3,
    says: /outcome of the change is not known/,
  },
  {
    title: "tells when it can't see the hosts",
    argv: ["key", "withdraw", "k-1"],
    answers: {
      "DELETE /v1/keys/k-1": [ACCEPTED],
      "GET /v1/hosts": [[503, fake.problem(503, "no leader")]],
    },
    exit: 3,
    says: /accepted, but it is not known where/,
  },
  {
    title: "has nothing to publish",
    argv: ["publish", EXAMPLES],
    answers: { "GET /v1/configuration": [[200, published(5, EXAMPLES)]] },
    exit: 0,
    says: /no difference to version 5\nnothing to publish/,
  },
  {
    title: "shows a difference only",
    argv: ["publish", EXAMPLES, "--dry-run"],
    answers: { "GET /v1/configuration": [IN_FORCE] },
    exit: 0,
    says: /\+ workspace web-shop/,
  },
  {
    title: "publishes",
    argv: ["publish", EXAMPLES],
    answers: {
      "GET /v1/configuration": [IN_FORCE],
      "POST /v1/configuration": [ACCEPTED],
      "GET /v1/hosts": [HOSTS],
    },
    exit: 0,
    says: /published version 9\nin force on 1 of 1 hosts after \d/,
  },
  {
    title: "names who came first",
    argv: ["publish", EXAMPLES],
    answers: {
      "GET /v1/configuration": [IN_FORCE],
      "POST /v1/configuration": [[409, {
        ...fake.problem(409, "lost"),
        winner: { version: 8, operator: "b", timeMs: 0 },
      }]],
      "GET /v1/configuration/8": [[
        200,
        published(8, {
          workspaces: [{
            name: "w",
            rate: 1,
            burst: 1,
            weight: 1,
            deferredLimit: 1,
          }],
          services: [],
        }),
      ]],
    },
    exit: 1,
    says: /version 8 by b at 1970-[^]*\+ workspace w/,
  },
  {
    title: "tells how to send a publishing again",
    argv: ["publish", EXAMPLES, "--change-id", "c-7"],
    answers: {
      "GET /v1/configuration": [IN_FORCE],
      "POST /v1/configuration": [[
        504,
        fake.problem(504, "lost", "may-have-run"),
      ]],
    },
    exit: 3,
    says: /--base 5 --change-id c-7/,
  },
  {
    title: "rolls back on the version in force",
    argv: ["rollback", "3"],
    answers: {
      "GET /v1/configuration": [IN_FORCE],
      "GET /v1/configuration/3": [[200, published(3, EXAMPLES)]],
      "POST /v1/configuration": [ACCEPTED],
      "GET /v1/hosts": [HOSTS],
    },
    exit: 0,
    says: /published version 9/,
  },
  {
    title: "verifies an empty trail",
    argv: ["audit", "--verify"],
    answers: { "GET /v1/audit": [[200, { entries: [], more: false }]] },
    exit: 0,
    says: /verified: 0 entries/,
  },
  {
    title: "finds a forged trail",
    argv: ["audit", "--verify"],
    answers: { "GET /v1/audit": [[200, { entries: [forged()], more: false }]] },
    exit: 1,
    says: /BROKEN at index 4/,
  },
];

describe("command line", () => {
  let folder: string;
  let tokenFile: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "ebonypath-"));
    tokenFile = `${folder}/token`;
    await fs.writeFile(tokenFile, `${TOKEN}\n`);
  });

  afterEach(() => fs.rm(folder, { recursive: true }));

  async function run(
    argv: readonly string[],
    servers: readonly fake.FakeServer[],
  ) {
    let out = "";
    let error = "";
    const exit = await program.run([
      ...argv,
      ...(argv.includes("--timeout") ? [] : ["--timeout", "0.3"]),
    ], {
      out: { write: (text) => out += text },
      error: { write: (text) => error += text },
      environment: {
        EBONYPATH_SERVER: servers.map(({ origin }) => origin).join(","),
        EBONYPATH_TOKEN_FILE: tokenFile,
      },
    });
    return { exit, out, error };
  }

  for (const { title, argv, answers = {}, exit, says } of CASES) {
    it(`${title}: exit code ${exit}`, async () => {
      await using server = await fake.FakeServer.start(answers);
      const result = await run(argv, [server]);
      expect(result.out + result.error).to.match(says);
      expect(result.exit, result.error).to.equal(exit);
      for (const { authorization } of server.requests) {
        expect(authorization).to.equal(`Bearer ${TOKEN}`);
      }
    });

    it(`${title}: one JSON document`, async () => {
      await using server = await fake.FakeServer.start(answers);
      const result = await run([...argv, "--json"], [server]);
      expect(result.exit).to.equal(exit);
      expect(JSON.parse(result.out)).to.be.an("object");
    });
  }

  it("sends a change again, unaltered, at the next server", async () => {
    const first = await fake.FakeServer.start({ "POST /v1/keys": ["cut"] });
    await using _first = first;
    await using second = await fake.FakeServer.start({
      "POST /v1/keys": [ACCEPTED],
      "GET /v1/hosts": [HOSTS],
    });
    const result = await run(["key", "grant", "web"], [first, second]);
    expect(result.exit, result.error).to.equal(0);
    const bodies = [first, second].map((server) =>
      server.bodies("POST /v1/keys")[0]
    );
    expect(bodies[0]?.["changeId"]).to.be.a("string");
    expect(bodies[1]).to.deep.equal(bodies[0]);
  });

  const MEMBER_CHANGES = [
    ["add", "127.0.0.1:7001"],
    ["remove", "m-1"],
    ["replace", "m-1", "127.0.0.1:7001"],
  ] as const;
  for (const argv of MEMBER_CHANGES) {
    it(`sends members ${argv[0]} again, unaltered`, async () => {
      const route = `POST /v1/members/${argv[0]}`;
      await using first = await fake.FakeServer.start({ [route]: ["cut"] });
      await using second = await fake.FakeServer.start({ [route]: [ACCEPTED] });
      const result = await run(["members", ...argv], [first, second]);
      expect(result.exit, result.error).to.equal(0);
      const [body] = first.bodies(route);
      expect(body?.["changeId"]).to.be.a("string");
      expect(second.bodies(route)).to.deep.equal([body]);
    });
  }

  it("says that the outcome of a change of members is unknown", async () => {
    const answers = { "POST /v1/members/remove": ["cut"] } as const;
    await using first = await fake.FakeServer.start(answers);
    await using second = await fake.FakeServer.start(answers);
    const argv = ["members", "remove", "m-1", "--timeout", "0.1"];
    const result = await run(argv, [first, second]);
    expect(result.exit).to.equal(3);
    expect(result.error).to.contain("send it again with the same change id");
  });

  it("shows a granted key once and sends only its digest", async () => {
    await using server = await fake.FakeServer.start({
      "POST /v1/keys": [ACCEPTED],
      "GET /v1/hosts": ["cut"],
    });
    const result = await run(["key", "grant", "web", "--json"], [server]);
    const { key } = JSON.parse(result.out);
    expect(key).to.match(/^ep_[A-Za-z0-9_-]{43}$/);
    expect(JSON.stringify(server.requests)).to.not.contain(key);
  });

  it("keeps text of a server from steering the terminal", async () => {
    const keys = [{
      id: "k",
      workspace: "w",
      label: "\u001b[2J\nk-2",
      grantedMs: 0,
    }];
    await using server = await fake.FakeServer.start({
      "GET /v1/keys": [[200, { keys }]],
    });
    const { out } = await run(["key", "list"], [server]);
    expect(out).to.contain("?[2J?k-2");
  });

  const PROCESS_CASES: [argv: string[], code: number][] = [
    [["--help"], 0],
    [["version"], 0],
    [[], 2],
    [["nonsense"], 2],
    [["publish"], 2],
    [["status", "--bogus"], 2],
    [["status"], 2],
    [[
      "status",
      "--server",
      "http://127.0.0.1:1",
      "--timeout",
      "0.1",
      "--token-file",
      import.meta.filename,
    ], 3],
  ];
  for (const [argv, code] of PROCESS_CASES) {
    it(`ends the process with ${code} after "${argv.slice(0, 2).join(" ")}"`, async () => {
      const environment = { EBONYPATH_SERVER: "", EBONYPATH_TOKEN_FILE: "" };
      await using process = testing.launcher.launch(MAIN, argv, environment);
      expect((await process.waitForExit()).code).to.equal(code);
    });
  }
});

function published(version: number, content: unknown): unknown {
  const configuration = content === EXAMPLES ? examples() : content;
  return { version, operator: "admin", timeMs: 0, configuration };
}

function examples(): unknown {
  const files = ["advice", "orders"].map((name) => {
    const file = `${EXAMPLES}/${name}/ebonypath.toml`;
    return serviceFile.parseServiceFile(readFileSync(file, "utf8"), file);
  });
  return serviceFile.mergeServiceFiles(files);
}

function forged(): unknown {
  return {
    index: 4,
    timeMs: 0,
    operator: "a",
    changeId: "c",
    action: "publish",
    subject: "s",
    contentDigest: "0",
    previous: "0",
    digest: "0",
  };
}
