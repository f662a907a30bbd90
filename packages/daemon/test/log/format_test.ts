import { expect } from "chai";
import * as log from "../../src/log/mod.ts";

const CASES: [title: string, fields: log.Fields, line: string][] = [
  ["plain values", { port: 7000, up: true }, "port=7000 up=true"],
  ["spaces", { reason: "no answer" }, 'reason="no answer"'],
  [
    "quotes and line breaks",
    { reason: 'a"\nevent=b' },
    'reason="a\\"\\nevent=b"',
  ],
  ["an empty value", { reason: "" }, 'reason=""'],
  ["a missing value", { peer: undefined, port: 1 }, "port=1"],
  ["an error", { error: new Error("lost") }, "error=lost"],
  ["a thrown string", { error: "lost" }, "error=lost"],
  ["a thrown null", { error: null }, "error=null"],
  ["a thrown symbol", { error: Symbol("lost") }, "error=Symbol(lost)"],
  [
    "a thrown object without its properties",
    { error: { token: "abc" } },
    'error="[object Object]"',
  ],
  [
    "a thrown object that can't be converted to a string",
    { error: Object.create(null) },
    'error="[object Object]"',
  ],
  [
    "secrets by field name",
    { joinToken: "abc", key: "k" },
    "joinToken=[removed] key=[removed]",
  ],
  ["a key inside a value", { url: "a/ep_0123456789abcdef" }, "url=a/[removed]"],
  ["a bearer header", { h: "Bearer xyz" }, 'h="Bearer [removed]"'],
  [
    "fields whose names only resemble secrets",
    { tokens: 5, keyId: "k-1" },
    "tokens=5 keyId=k-1",
  ],
];

describe("log lines", () => {
  for (const [title, fields, line] of CASES) {
    it(`renders ${title}`, () => {
      expect(log.formatLine("e", fields)).to.equal(`event=e ${line}`);
    });
  }
});
