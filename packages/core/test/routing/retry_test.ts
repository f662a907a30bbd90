import { routing } from "@ebonypath/core";
import { expect } from "chai";

type Flags = {
  isIdempotent: boolean;
  bytesSent: boolean;
  refusedBeforeStart: boolean;
  bytesToCaller: boolean;
  mayHaveRunBefore: boolean;
  lastAttempt: boolean;
  pastDeadline: boolean;
  hasAlternative: boolean;
  budgetLeft: boolean;
};

const FLAG_NAMES: readonly (keyof Flags)[] = [
  "isIdempotent",
  "bytesSent",
  "refusedBeforeStart",
  "bytesToCaller",
  "mayHaveRunBefore",
  "lastAttempt",
  "pastDeadline",
  "hasAlternative",
  "budgetLeft",
];

/** All combinations, including those that a correct caller cannot produce. */
const COMBINATIONS: Flags[] = Array.from({ length: 2 ** FLAG_NAMES.length })
  .map(
    (_, bits) =>
      Object.fromEntries(
        FLAG_NAMES.map((name, index) => [name, (bits >> index) % 2 === 1]),
      ) as Flags,
  );

/**
 * Expected decision for the flags that a row lists; the others may have any
 * value. The outcome of a refusal is in a separate table.
 */
const DECISIONS: { when: Partial<Flags>; then: string }[] = [
  { when: { bytesToCaller: true }, then: "stream-error" },
  {
    when: { bytesToCaller: false, isIdempotent: false, bytesSent: true },
    then: "not-repeatable",
  },
  ...[{ isIdempotent: true, bytesSent: true }, { bytesSent: false }]
    .flatMap((repeatable) => {
      const may = { ...repeatable, bytesToCaller: false };
      const inTime = { ...may, lastAttempt: false, pastDeadline: false };
      const possible = { ...inTime, hasAlternative: true };
      return [
        { when: { ...may, lastAttempt: true }, then: "attempts" },
        {
          when: { ...may, lastAttempt: false, pastDeadline: true },
          then: "deadline",
        },
        { when: { ...inTime, hasAlternative: false }, then: "no-alternative" },
        {
          when: { ...possible, budgetLeft: false },
          then: repeatable.bytesSent ? "budget" : "retry",
        },
        { when: { ...possible, budgetLeft: true }, then: "retry" },
      ];
    }),
];

const OUTCOMES: { when: Partial<Flags>; then: string }[] = [
  { when: { mayHaveRunBefore: true }, then: "may-have-run" },
  {
    when: {
      mayHaveRunBefore: false,
      bytesSent: true,
      refusedBeforeStart: false,
    },
    then: "may-have-run",
  },
  {
    when: {
      mayHaveRunBefore: false,
      bytesSent: true,
      refusedBeforeStart: true,
    },
    then: "not-run",
  },
  { when: { mayHaveRunBefore: false, bytesSent: false }, then: "not-run" },
];

/** Result of the only row that matches the flags. */
function lookUp(
  table: { when: Partial<Flags>; then: string }[],
  flags: Flags,
): string {
  const rows = table.filter(({ when }) =>
    FLAG_NAMES.every((name) =>
      when[name] === undefined || when[name] === flags[name]
    )
  );
  expect(rows, JSON.stringify(flags)).to.have.length(1);
  return rows[0]!.then;
}

function decide(flags: Flags): {
  decision: routing.RetryDecision;
  budget: routing.RetryBudget;
} {
  const budget = new routing.RetryBudget(0);
  while (!flags.budgetLeft && budget.tryWithdraw(0)) {
    // Exhaust the budget.
  }
  const decision = routing.decideRetry(
    {
      ...flags,
      attempt: flags.lastAttempt ? routing.MAX_ATTEMPTS : 1,
      deadline: flags.pastDeadline ? routing.MIN_TIME_FOR_RETRY_MS - 1 : 1000,
    },
    budget,
    0,
  );
  return { decision, budget };
}

function countWithdrawals(budget: routing.RetryBudget): number {
  let count = 0;
  while (budget.tryWithdraw(0)) {
    count++;
  }
  return count;
}

describe("retry decision after a failed attempt", () => {
  it(`matches the table in all ${COMBINATIONS.length} cases`, () => {
    for (const flags of COMBINATIONS) {
      const { decision } = decide(flags);
      const reason = decision.kind === "refuse"
        ? decision.reason
        : decision.kind;
      expect(reason, JSON.stringify(flags)).to.equal(lookUp(DECISIONS, flags));
    }
  });

  it("reports not-run only if the request cannot have run", () => {
    for (const flags of COMBINATIONS) {
      const { decision } = decide(flags);
      const outcome = lookUp(OUTCOMES, flags);
      if (decision.kind === "refuse") {
        expect(decision.outcome).to.equal(outcome);
      } else if (decision.kind === "retry") {
        expect(decision.mayHaveRun).to.equal(outcome === "may-have-run");
      } else {
        expect(decision.outcome).to.equal("may-have-run");
      }
    }
  });

  it("withdraws from the budget only to retry what was sent", () => {
    for (const flags of COMBINATIONS.filter(({ budgetLeft }) => budgetLeft)) {
      const { decision, budget } = decide(flags);
      const left = routing.RETRY_BURST -
        (decision.kind === "retry" && flags.bytesSent ? 1 : 0);
      expect(countWithdrawals(budget)).to.equal(left);
    }
  });
});

describe("retry budget", () => {
  it("allows retries for a fifth of the requests plus a minimum rate", () => {
    const budget = new routing.RetryBudget(0);
    let retries = 0;
    for (let ms = 0; ms < 10_000; ms += 10) {
      budget.deposit();
      retries += budget.tryWithdraw(ms) ? 1 : 0;
    }
    const maxRetries = routing.RETRY_BURST + 1000 * routing.RETRY_RATIO + 10;
    expect(retries).to.be.within(maxRetries - 2, maxRetries);
  });
});
