import { queue } from "@ebonypath/core";
import { expect } from "chai";

let nextId = 0;

function request(
  workspace: string,
  fields: Partial<queue.WaitingRequest> = {},
): queue.WaitingRequest {
  return {
    id: `${nextId++}`,
    workspace,
    weight: 1,
    tokens: 10,
    urgency: 0,
    queuedAt: 0,
    deadline: 10_000,
    ...fields,
  };
}

function newQueue(...requests: queue.WaitingRequest[]): queue.FairQueue {
  const subject = new queue.FairQueue();
  for (const one of requests) {
    expect(subject.add(one, 0, 0).kind).to.equal("queued");
  }
  return subject;
}

function drain(subject: queue.FairQueue, count: number, now = 0): string {
  let order = "";
  for (let i = 0; i < count; i++) {
    order += subject.take(() => "take", now)?.workspace ?? "-";
  }
  return order;
}

describe("order of dispatch", () => {
  it("alternates between workspaces whatever one of them sends", () => {
    const flood = Array.from({ length: 50 }, () => request("a"));
    const subject = newQueue(...flood, request("b"), request("b"));
    expect(drain(subject, 5)).to.equal("ababa");
  });

  it("counts tokens, not requests", () => {
    const large = Array.from({ length: 5 }, () => request("a", { tokens: 40 }));
    const small = Array.from({ length: 20 }, () => request("b"));
    expect(drain(newQueue(...large, ...small), 10)).to.equal("abbbbabbbb");
  });

  it("follows the weights", () => {
    const a = Array.from({ length: 9 }, () => request("a", { weight: 2 }));
    const b = Array.from({ length: 9 }, () => request("b"));
    const order = drain(newQueue(...a, ...b), 9);
    expect([...order].filter((one) => one === "a")).to.have.length(6);
  });

  const credits = [
    {
      name: "none before others were served",
      served: 0,
      order: "abababababab",
    },
    { name: "what the others were served", served: 3, order: "bbbabababab" },
    { name: "eight requests at most", served: 30, order: "bbbbbbbbbabab" },
  ];
  for (const { name, served, order } of credits) {
    it(`gives a workspace credit for idle time: ${name}`, () => {
      const a = Array.from({ length: 50 }, () => request("a"));
      const subject = newQueue(...a);
      drain(subject, served);
      for (let i = 0; i < 20; i++) {
        subject.add(request("b"), 0, 0);
      }
      expect(drain(subject, order.length)).to.equal(order);
    });
  }

  it("charges what was used in the end", () => {
    const a = Array.from({ length: 4 }, () => request("a", { tokens: 100 }));
    const b = Array.from({ length: 9 }, () => request("b", { tokens: 20 }));
    const subject = newQueue(...a, ...b);
    expect(drain(subject, 2)).to.equal("ab");
    subject.refund("a", 100);
    expect(drain(subject, 1)).to.equal("a");
  });

  const orders = [
    {
      name: "earliest deadline within a tier",
      workspaces: "aaa",
      requests: [{ deadline: 3000 }, { deadline: 1000 }, { deadline: 2000 }],
      now: 0,
      order: [1, 2, 0],
    },
    {
      name: "more urgent tier before an earlier deadline",
      workspaces: "aa",
      requests: [{ urgency: 1, deadline: 1000 }, { urgency: 0 }],
      now: 0,
      order: [1, 0],
    },
    {
      name: "more urgent tier of another workspace",
      workspaces: "ab",
      requests: [{ urgency: 1, deadline: 1000 }, { urgency: 0 }],
      now: 0,
      order: [1, 0],
    },
    {
      name: "a less urgent one whose time runs out before the others",
      workspaces: "aa",
      requests: [{ urgency: 0 }, { urgency: 2, deadline: 1000 }],
      now: 800,
      order: [1, 0],
    },
    {
      name: "one of another workspace whose time runs out as an urgent one",
      workspaces: "ab",
      requests: [{ urgency: 0 }, { urgency: 2, deadline: 1000 }],
      now: 800,
      order: [1, 0],
    },
  ];
  for (const { name, workspaces, requests, now, order } of orders) {
    it(name, () => {
      const all = requests.map((fields, index) =>
        request(workspaces[index]!, fields)
      );
      const subject = newQueue(...all);
      const taken = all.map(() => subject.take(() => "take", now)!);
      expect(taken.map((one) => all.indexOf(one))).to.deep.equal(order);
    });
  }
});

describe("requests that cannot be dispatched", () => {
  const verdicts: { verdict: queue.DispatchDecision; offered: string }[] = [
    { verdict: "next-request", offered: "aabb" },
    { verdict: "next-workspace", offered: "ab" },
    { verdict: "stop", offered: "a" },
  ];
  for (const { verdict, offered } of verdicts) {
    it(`${verdict} offers ${offered} and leaves all in place`, () => {
      const subject = newQueue(...[..."aabb"].map((name) => request(name)));
      let seen = "";
      const taken = subject.take((one) => {
        seen += one.workspace;
        return verdict;
      }, 0);
      expect(taken).to.equal(undefined);
      expect(seen).to.equal(offered);
      expect(subject.size).to.equal(4);
    });
  }

  it("leave when their deadline comes, and not before", () => {
    const subject = newQueue(
      request("a", { deadline: 500 }),
      request("a", { deadline: 700, urgency: 1 }),
      request("b", { deadline: 600 }),
    );
    expect(subject.nextDeadline()).to.equal(500);
    expect(subject.expire(499)).to.have.length(0);
    expect(subject.expire(600).map((one) => one.deadline))
      .to.deep.equal([500, 600]);
    expect(subject.nextDeadline()).to.equal(700);
    expect(subject.expire(700)).to.have.length(1);
    expect(subject.nextDeadline()).to.equal(undefined);
  });

  it("leave when they are cancelled", () => {
    const cancelled = request("a");
    const subject = newQueue(cancelled, request("a"));
    expect(subject.remove(cancelled.id)).to.equal(cancelled);
    expect(subject.remove(cancelled.id)).to.equal(undefined);
    expect(subject.backlogOf("a", 0)).to.include({ requests: 1, tokens: 10 });
  });
});

describe("refusals", () => {
  const limits = { maxPerWorkspace: 2, maxTotal: 3 };
  const cases = [
    { name: "room", waiting: "a", wait: 0, kind: "queued" },
    { name: "workspace full", waiting: "aa", wait: 0, kind: "workspace-full" },
    { name: "host full", waiting: "aab", wait: 0, kind: "full" },
    { name: "too late", waiting: "", wait: 10_000, kind: "too-late" },
    { name: "just in time", waiting: "", wait: 9999, kind: "queued" },
  ];
  for (const { name, waiting, wait, kind } of cases) {
    it(name, () => {
      const subject = new queue.FairQueue(limits);
      [...waiting].forEach((one) => subject.add(request(one), 0, 0));
      expect(subject.add(request("a"), wait, 0).kind).to.equal(kind);
    });
  }
});

it("tokens before a request count others up to their fair part", () => {
  const flood = Array.from({ length: 50 }, () => request("a"));
  const subject = newQueue(...flood, request("b"));
  expect(subject.tokensBefore(request("b"), 0)).to.equal(10 + 20);
  expect(subject.tokensBefore(request("a"), 0)).to.equal(500 + 10);
});

it("tokens before a request leave out those that wait for something else", () => {
  const subject = newQueue(request("a", { id: "x" }), request("a"));
  const counts = ({ id }: queue.WaitingRequest) => id !== "x";
  expect(subject.tokensBefore(request("a"), 0, counts)).to.equal(10);
});
