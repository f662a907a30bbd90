import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import { expect } from "chai";
import { LineLimit, LineSink } from "../../src/log/mod.ts";

describe("log limits", () => {
  it("counts the lines of an event that exceed the limit per second", () => {
    const limit = new LineLimit();
    const admitted = Array.from(
      { length: 1_000 },
      () => limit.admit("entry refused", 0).isAdmitted,
    );
    expect(admitted.filter(Boolean)).to.have.length(200);
    expect(limit.admit("entry served", 0).isAdmitted).to.equal(true);
    expect(limit.admit("entry refused", 1_000))
      .to.deep.equal({ isAdmitted: true, leftOut: 800 });
  });

  it("writes lines in order and reports how many were dropped", async () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "ebonypath-log-"));
    const file = path.join(folder, "log");
    const descriptor = fs.openSync(file, "w");
    try {
      const sink = new LineSink(descriptor);
      sink.write("event=first");
      for (let line = 0; line < 10; line += 1) sink.write("x".repeat(100_000));
      await timers.setTimeout(200);
      sink.write("event=last");
      sink.flushNow();
      const lines = fs.readFileSync(file, "utf8").trim().split("\n");
      expect(lines[0]).to.equal("event=first");
      expect(lines.at(-1)).to.equal("event=last");
      expect(lines).to.include("event=lines-dropped n=5");
    } finally {
      fs.closeSync(descriptor);
      fs.rmSync(folder, { recursive: true });
    }
  });
});
