import { type launcher, wait } from "@ebonypath/testing";
import { expect } from "chai";
import * as scenarios from "./scenario.ts";

/** Time after which a host that is not current starts no work, in ms. */
const STOPPED_MS = 5_000;
/** Longest wait for changes to go on without the subject, in ms. */
const GOING_ON_MS = 15_000;

type Host = launcher.FleetHost;

interface Case {
  readonly title: string;
  readonly subject: "leader" | "follower" | "entry";
  /** Holds bytes between the subject and one other host. */
  readonly cut: (links: launcher.Links, own: string, other: string) => void;
  /** Whether another host has to lead meanwhile. */
  readonly movesLeader: boolean;
}

/** Holds everything that goes from one host to another. */
function mute(links: launcher.Links, from: string, to: string): void {
  links.link(from, to).toTarget.hold();
  links.link(to, from).toClient.hold();
}

const CASES: readonly Case[] = [
  {
    title: "a leader that sends but hears nobody",
    subject: "leader",
    cut: (links, own, other) => mute(links, other, own),
    movesLeader: true,
  },
  {
    title: "a leader that hears all but reaches nobody",
    subject: "leader",
    cut: (links, own, other) => mute(links, own, other),
    movesLeader: true,
  },
  {
    title: "a follower that hears all but reaches nobody",
    subject: "follower",
    cut: (links, own, other) => mute(links, own, other),
    movesLeader: false,
  },
  {
    title: "a follower that sends but hears nobody",
    subject: "follower",
    cut: (links, own, other) => mute(links, other, own),
    movesLeader: false,
  },
  {
    title: "a host that hears the feed but whose exchanges don't arrive",
    subject: "entry",
    cut: (links, own, other) => links.link(own, other).toTarget.hold(),
    movesLeader: false,
  },
  {
    title: "a host whose exchanges arrive but that hears nothing",
    subject: "entry",
    cut: (links, own, other) => links.link(own, other).toClient.hold(),
    movesLeader: false,
  },
];

describe("one-way partitions", () => {
  let scenario: scenarios.Scenario;
  let fleet: launcher.Fleet;

  before(async () => {
    scenario = await scenarios.Scenario.start({
      hosts: 5,
      voters: 3,
      withLinks: true,
      plains: [{}],
    });
    fleet = scenario.fleet;
  });

  after(async () => await scenario?.[Symbol.asyncDispose]());

  /** An entry host that is never cut off. */
  function witness(): Host {
    return fleet.host(4);
  }

  async function leader(): Promise<Host> {
    return await wait.waitFor("a leader", async () => {
      const { leader } = await witness().operator.status();
      return fleet.hosts.find((one) => one.options.fleetAddress === leader);
    });
  }

  async function hostFor(subject: Case["subject"]): Promise<Host> {
    const leads = await leader();
    switch (subject) {
      case "leader":
        return leads;
      case "follower":
        return fleet.hosts.find((one) => one !== leads) as Host;
      case "entry":
        return fleet.host(3);
    }
  }

  async function term(): Promise<number> {
    return (await witness().operator.status()).term;
  }

  for (const { title, subject, cut, movesLeader } of CASES) {
    it(`stops ${title}, and takes it back`, async () => {
      const host = await hostFor(subject);
      const number = fleet.hosts.indexOf(host);
      const before = await witness().operator.publish(scenarios.CONFIGURATION);
      await scenario.waitUntilInForce(before);
      const leadsBefore = await leader();
      const termBefore = await term();
      const { id: granted } = await witness().operator.grantKey("partner");
      const others = fleet.hosts.filter((one) => one !== host);
      others.forEach((one) => cut(fleet.links, host.name, one.name));
      const orderId = `order of ${title}`;
      try {
        await wait.waitFor("the host to stop", async () => {
          const reply = await scenario.caller(number).call("GET", "/readyz");
          return reply.status === 503;
        }, { timeoutMs: STOPPED_MS });
        const refused = await scenario.caller(number).order(orderId);
        expect(refused).to.include({ status: 503, outcome: "not-run" });
        const index = await wait.waitFor(
          "a publishing without it",
          () => witness().operator.publish(scenarios.CONFIGURATION),
          { timeoutMs: GOING_ON_MS },
        );
        expect(index).to.be.greaterThan(before);
        const stale = await host.operator.status();
        expect(stale.index).to.be.at.least(before).and.at.most(index);
        const leadsNow = await leader();
        expect(leadsNow !== leadsBefore).to.equal(movesLeader);
        if (!movesLeader) expect(await term()).to.equal(termBefore);
      } finally {
        others.forEach((one) => fleet.links.heal(one.name));
      }
      const index = await wait.waitFor(
        "a publishing after the healing",
        () => witness().operator.publish(scenarios.CONFIGURATION),
        { timeoutMs: GOING_ON_MS },
      );
      await scenario.waitUntilInForce(index);
      await scenario.waitUntilServing();
      const { keys } = await host.operator.call<{ keys: { id: string }[] }>(
        "GET",
        "/v1/keys",
      );
      expect(keys.map(({ id }) => id)).to.include(granted);
      expect(scenario.executionsOf(orderId)).to.equal(0);
    });
  }
});
