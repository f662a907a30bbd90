import { expect } from "chai";
import type * as clients from "../src/client/mod.ts";
import * as inForces from "../src/in_force/mod.ts";

const LIMITS = { timeoutMs: 120, absentAfterMs: 60 };
const INDEX = 9;

type State = "there" | "late" | "absent";

interface Case {
  readonly title: string;
  /** States of host-1, host-2 and so on, one list for each look. */
  readonly looks: readonly (readonly State[])[];
  readonly says: readonly string[];
  readonly everywhere: boolean;
}

const CASES: readonly Case[] = [
  {
    title: "is there at once",
    looks: [["there", "there"]],
    says: ["in force on 2 of 2 hosts after T s"],
    everywhere: true,
  },
  {
    title: "waits for a late host",
    looks: [["there", "late"], ["there", "there"]],
    says: ["in force on 2 of 2 hosts after T s"],
    everywhere: true,
  },
  {
    title: "waits for a host that becomes current",
    looks: [["there", "absent"], ["there", "there"]],
    says: ["in force on 2 of 2 hosts after T s"],
    everywhere: true,
  },
  {
    title: "names a host that stays absent",
    looks: [["there", "absent"]],
    says: [
      "in force on 1 of 2 hosts after T s",
      "not current, they start no work: host-2",
    ],
    everywhere: true,
  },
  {
    title: "names a host that stays late",
    looks: [["late", "there"]],
    says: ["in force on 1 of 2 hosts after T s", "NOT in force on: host-1"],
    everywhere: false,
  },
];

describe("in force", () => {
  for (const { title, looks, says, everywhere } of CASES) {
    it(title, async () => {
      const client = new FakeClient(looks);
      const sentAt = performance.now();
      const inForce = await inForces.waitInForce(client, INDEX, sentAt, LIMITS);
      const lines = inForces.renderInForce(inForce)
        .map((line) => line.replace(/\d+\.\d+ s$/, "T s"));
      expect(lines).to.deep.equal(says);
      expect(inForces.isEverywhere(inForce)).to.equal(everywhere);
    });
  }
});

/** Answers each look with the next states, the last ones again and again. */
class FakeClient implements Pick<clients.Client, "read"> {
  readonly #looks: readonly (readonly State[])[];
  #count = 0;

  constructor(looks: readonly (readonly State[])[]) {
    this.#looks = looks;
  }

  // deno-lint-ignore no-explicit-any -- the only schema read here is Hosts
  read(): Promise<any> {
    const states = this.#looks[Math.min(this.#count, this.#looks.length - 1)];
    this.#count += 1;
    const hosts = (states ?? []).map((state, position) => ({
      name: `host-${position + 1}`,
      index: state === "there" ? INDEX : INDEX - 1,
      current: state !== "absent",
    }));
    return Promise.resolve({ hosts });
  }
}
