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

/**
 * Takes `count` requests and returns the names of their workspaces in order.
 */
function takeInOrder(subject: queue.FairQueue, count: number, now = 0): string {
  let order = "";
  for (let i = 0; i < count; i++) {
    order += subject.take(() => "take", now)?.workspace ?? "-";
  }
  return order;
}

describe("dispatch order", () => {
  it("alternates between workspaces even if one floods the queue", () => {
    const flood = Array.from({ length: 50 }, () => request("a"));
    const subject = newQueue(...flood, request("b"), request("b"));
    expect(takeInOrder(subject, 5)).to.equal("ababa");
  });

  it("measures service in tokens, not in requests", () => {
    const large = Array.from({ length: 5 }, () => request("a", { tokens: 40 }));
    const small = Array.from({ length: 20 }, () => request("b"));
    expect(takeInOrder(newQueue(...large, ...small), 10)).to.equal(
      "abbbbabbbb",
    );
  });

  it("divides service by weight", () => {
    const a = Array.from({ length: 9 }, () => request("a", { weight: 2 }));
    const b = Array.from({ length: 9 }, () => request("b"));
    const order = takeInOrder(newQueue(...a, ...b), 9);
    expect([...order].filter((one) => one === "a")).to.have.length(6);
  });

  const credits = [
    {
      name: "none before other workspaces are served",
      served: 0,
      order: "abababababab",
    },
    { name: "as much as others received", served: 3, order: "bbbabababab" },
    { name: "at most eight requests", served: 30, order: "bbbbbbbbbabab" },
  ];
  for (const { name, served, order } of credits) {
    it(`credits an idle workspace: ${name}`, () => {
      const a = Array.from({ length: 50 }, () => request("a"));
      const subject = newQueue(...a);
      takeInOrder(subject, served);
      for (let i = 0; i < 20; i++) {
        subject.add(request("b"), 0, 0);
      }
      expect(takeInOrder(subject, order.length)).to.equal(order);
    });
  }

  it("refunds tokens that were not used", () => {
    const a = Array.from({ length: 4 }, () => request("a", { tokens: 100 }));
    const b = Array.from({ length: 9 }, () => request("b", { tokens: 20 }));
    const subject = newQueue(...a, ...b);
    expect(takeInOrder(subject, 2)).to.equal("ab");
    subject.refund("a", 100);
    expect(takeInOrder(subject, 1)).to.equal("a");
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
      name: "urgent tier before an earlier deadline",
      workspaces: "aa",
      requests: [{ urgency: 1, deadline: 1000 }, { urgency: 0 }],
      now: 0,
      order: [1, 0],
    },
    {
      name: "urgent tier of another workspace first",
      workspaces: "ab",
      requests: [{ urgency: 1, deadline: 1000 }, { urgency: 0 }],
      now: 0,
      order: [1, 0],
    },
    {
      name: "promotes a request that is close to its deadline",
      workspaces: "aa",
      requests: [{ urgency: 0 }, { urgency: 2, deadline: 1000 }],
      now: 800,
      order: [1, 0],
    },
    {
      name:
        "promotes a request of another workspace that is close to its deadline",
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
  const decisions: { decision: queue.DispatchDecision; offered: string }[] = [
    { decision: "next-request", offered: "aabb" },
    { decision: "next-workspace", offered: "ab" },
    { decision: "stop", offered: "a" },
  ];
  for (const { decision, offered } of decisions) {
    it(`${decision} offers ${offered} and keeps all requests`, () => {
      const subject = newQueue(...[..."aabb"].map((name) => request(name)));
      let offeredWorkspaces = "";
      const taken = subject.take((one) => {
        offeredWorkspaces += one.workspace;
        return decision;
      }, 0);
      expect(taken).to.equal(undefined);
      expect(offeredWorkspaces).to.equal(offered);
      expect(subject.size).to.equal(4);
    });
  }

  it("expire exactly at their deadline", () => {
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

  it("are removed when they are cancelled", () => {
    const cancelled = request("a");
    const subject = newQueue(cancelled, request("a"));
    expect(subject.remove(cancelled.id)).to.equal(cancelled);
    expect(subject.remove(cancelled.id)).to.equal(undefined);
    expect(subject.backlogOf("a", 0)).to.include({ requests: 1, tokens: 10 });
  });
});

describe("admission to the queue", () => {
  const limits = { maxPerWorkspace: 2, maxTotal: 3 };
  const cases = [
    {
      name: "accepted while there is room",
      waiting: "a",
      wait: 0,
      kind: "queued",
    },
    {
      name: "refused if the workspace is full",
      waiting: "aa",
      wait: 0,
      kind: "workspace-full",
    },
    {
      name: "refused if the host is full",
      waiting: "aab",
      wait: 0,
      kind: "full",
    },
    {
      name: "refused if the wait reaches the deadline",
      waiting: "",
      wait: 10_000,
      kind: "too-late",
    },
    {
      name: "accepted just before the deadline",
      waiting: "",
      wait: 9999,
      kind: "queued",
    },
  ];
  for (const { name, waiting, wait, kind } of cases) {
    it(name, () => {
      const subject = new queue.FairQueue(limits);
      [...waiting].forEach((one) => subject.add(request(one), 0, 0));
      expect(subject.add(request("a"), wait, 0).kind).to.equal(kind);
    });
  }
});

it("tokensBefore counts other workspaces up to their fair part", () => {
  const flood = Array.from({ length: 50 }, () => request("a"));
  const subject = newQueue(...flood, request("b"));
  expect(subject.tokensBefore(request("b"), 0)).to.equal(10 + 20);
  expect(subject.tokensBefore(request("a"), 0)).to.equal(500 + 10);
});

it("tokensBefore leaves out requests that wait for other capacity", () => {
  const subject = newQueue(request("a", { id: "x" }), request("a"));
  const isCounted = ({ id }: queue.WaitingRequest) => id !== "x";
  expect(subject.tokensBefore(request("a"), 0, isCounted)).to.equal(10);
});
