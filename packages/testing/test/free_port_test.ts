import * as childProcess from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { expect } from "chai";

const PROCESSES = 4;
/** More than one block, so that processes started together would meet. */
const PORTS = 150;
const MODULE = new URL("../src/free_port.js", import.meta.url).href;
const TAKER = `
  const { freePorts } = await import(${JSON.stringify(MODULE)});
  process.send(await freePorts(${PORTS}));
  process.once("message", () => process.exit());
`;

describe("free ports", () => {
  it("are distinct among processes that are started together", async () => {
    const children = Array.from({ length: PROCESSES }, () => startTaker());
    try {
      const taken = await Promise.all(children.map(portsOf));
      const all = taken.flat();
      expect(new Set(all).size).to.equal(PROCESSES * PORTS);
    } finally {
      for (const child of children) child.kill("SIGKILL");
    }
  });
});

function startTaker(): childProcess.ChildProcess {
  return childProcess.spawn(
    process.execPath,
    ["--input-type=module", "--eval", TAKER],
    { stdio: ["ignore", "inherit", "inherit", "ipc"] },
  );
}

async function portsOf(child: childProcess.ChildProcess): Promise<number[]> {
  const [ports] = await once(child, "message");
  return ports as number[];
}
