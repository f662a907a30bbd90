import { expect } from "chai";
import {
  DEFAULT_LOAD_THRESHOLDS,
  HostLoad,
  type HostUse,
} from "../../src/gateway/mod.ts";

const CALM = { processor: 0.3, memory: 0, connections: 0.1, link: 0.1 };
const HANDING_ON = { handOn: 0.85, refuse: 0.95 };
const RESOURCES = ["processor", "memory", "connections", "link"] as const;

/** Lets a host use this much for some seconds, and returns what it did in each. */
function play(load: HostLoad, use: Partial<HostUse>, from: number, to: number) {
  const states = [];
  for (let second = from; second < to; second += 1) {
    load.update({ ...CALM, ...use }, second * 1_000);
    states.push(load.state);
  }
  return states;
}

function calmHost(thresholds = HANDING_ON): HostLoad {
  const load = new HostLoad(thresholds);
  play(load, {}, 0, 5);
  return load;
}

function admittedOf(load: HostLoad, requests: number): number {
  return Array.from({ length: requests }, () => load.tryAdmit())
    .filter((isAdmitted) => isAdmitted).length;
}

describe("a host's load", () => {
  it("changes nothing on an ordinary day", () => {
    const load = calmHost();
    for (const { admitted, isHandingOn } of play(load, { link: 0.8 }, 5, 60)) {
      expect({ admitted, isHandingOn }).to.deep.equal({
        admitted: 1,
        isHandingOn: false,
      });
    }
    expect(admittedOf(load, 100)).to.equal(100);
  });

  for (const resource of RESOURCES) {
    it(`makes it hand on new connections near the limit of its ${resource}`, () => {
      const load = calmHost();
      const [, last] = play(load, { [resource]: 0.9 }, 5, 7);
      expect(last).to.include({ isHandingOn: true, admitted: 1, resource });
    });
  }

  for (const resource of ["processor", "memory", "link"] as const) {
    it(`makes it refuse a part at the limit of its ${resource}`, () => {
      const load = calmHost();
      play(load, { [resource]: 1 }, 5, 10);
      expect(admittedOf(load, 100)).to.be.within(20, 50);
      expect(load.state.fullest).to.equal(resource);
    });
  }

  it("makes it refuse nothing while it has many connections", () => {
    const load = calmHost();
    play(load, { connections: 1 }, 5, 60);
    expect(admittedOf(load, 100)).to.equal(100);
  });

  it("tells callers to come back later the less it admits", () => {
    const load = calmHost();
    play(load, { processor: 1 }, 5, 8);
    expect(load.returnMs).to.be.within(1_400, 1_500);
    play(load, { processor: 1 }, 8, 60);
    expect(load.returnMs).to.equal(4_000);
  });

  it("doesn't make it hand on unless it is told to", () => {
    const load = calmHost(DEFAULT_LOAD_THRESHOLDS);
    const states = play(load, { processor: 1 }, 5, 60);
    expect(states.some(({ isHandingOn }) => isHandingOn)).to.equal(false);
  });

  it("doesn't make it refuse requests unless it is told to", () => {
    const load = calmHost(DEFAULT_LOAD_THRESHOLDS);
    play(load, { processor: 1, memory: 1, link: 1 }, 5, 60);
    expect(admittedOf(load, 100)).to.equal(100);
  });

  it("is not judged by one busy second", () => {
    const load = calmHost();
    play(load, { processor: 1 }, 5, 6);
    expect(load.state).to.include({ isHandingOn: false, admitted: 1 });
  });

  it("is not judged by the time of a suspension", () => {
    const load = calmHost();
    play(load, { processor: 1 }, 5, 6);
    play(load, { processor: 1 }, 20, 21);
    expect(load.state).to.include({ isHandingOn: false, admitted: 1 });
  });

  it("lets it hand on for a third of the time at most", () => {
    const states = play(calmHost(), { processor: 0.9 }, 5, 155);
    const handingOn = states.filter(({ isHandingOn }) => isHandingOn);
    expect(handingOn.length / states.length).to.be.within(0.25, 0.35);
  });

  it("does not change with each swing about a threshold", () => {
    const load = calmHost();
    play(load, { processor: 0.9 }, 5, 7);
    const states = [0.8, 0.9, 0.7].flatMap((processor, at) =>
      play(load, { processor }, 7 + at, 8 + at)
    );
    expect(states.every(({ isHandingOn }) => isHandingOn)).to.equal(true);
  });

  it("lets it admit all again once it is relieved", () => {
    const load = calmHost();
    play(load, { memory: 1 }, 5, 30);
    play(load, {}, 30, 40);
    expect(load.state).to.include({ isHandingOn: false, admitted: 1 });
  });

  it("always lets it admit some", () => {
    const load = calmHost();
    play(load, { processor: 1 }, 5, 600);
    expect(admittedOf(load, 100)).to.be.at.least(19);
  });
});
