/**
 * Simulates a group of replicas and its faults in simulated time.
 *
 * @module
 */

import * as protocol from "@ebonypath/protocol";
import { nextMembershipChange } from "../../src/gateway/mod.ts";
import * as replication from "../../src/replication/mod.ts";
import { LeaderPartition, type PartitionSide } from "./leader_partition.ts";
import { InvariantChecker } from "./invariant_checker.ts";
import type { ClusterEvent } from "./cluster_event.ts";
import {
  keepsQuorums,
  memberOf,
  type MembershipEvent,
  pickByNumber,
  toMembershipChange,
} from "./member_events.ts";
import { Network, slotOf } from "./network.ts";
import { Node, type NodeEnvironment } from "./node.ts";
import * as random from "../random.ts";

const STEP_MS = 10;
const CLOCK_DRIFT = 0.05;
const MAX_SYNC_MS = 10;
const DELIVERY_ROUNDS_PER_STEP = 4;
const RECOVERY_TIMEOUT_MS = 60_000;
const SPARE_NODES = 1;
/** Interval at which leaders check the membership, in milliseconds. */
const MEMBERSHIP_INTERVAL_MS = 200;
const ELECTION_TIMEOUT_MS = { narrow: 610, wide: 1200 };

/** Node numbers from this one on select the current leader. */
export const LEADER_NODE = 6;
/**
 * Node numbers from this one on select isolated nodes, in the order of their
 * isolation.
 */
export const FIRST_ISOLATED_NODE = 10;

/** A group of replicas with their disks, clocks and network. */
export class Cluster {
  readonly checker = new InvariantChecker();
  #random: () => number;
  #environment: NodeEnvironment;
  #nodes: Node[] = [];
  #network: Network;
  #leaderPartition: LeaderPartition | null = null;
  /** Slots isolated since the last `heal` event, in order. */
  #isolated: string[] = [];
  #time = 0;
  #generation = 0;
  #lastProposalId = 0;
  /**
   * Number of voters below which a leader removes no silent voter; null without
   * automatic membership.
   */
  #minVoters: number | null = null;

  constructor(seed: number, size: number) {
    this.#random = random.seededRandom(seed);
    const isFast = this.#random() < 0.5;
    this.#environment = {
      syncMs: isFast ? 0 : MAX_SYNC_MS,
      random: this.#random,
      checker: this.checker,
      electionTimeoutMaximumMs: this.#random() < 0.5
        ? ELECTION_TIMEOUT_MS.narrow
        : ELECTION_TIMEOUT_MS.wide,
      leaseHolders: () => this.#leaseHolders(),
      send: (from, to, message) => this.#send(from, to, message),
    };
    this.#network = new Network(this.#random, isFast);
    for (let slot = 0; slot < size + SPARE_NODES; slot += 1) {
      this.#nodes.push(this.#newNode(slot));
    }
    const voters = this.#nodes.slice(0, size).map(({ id }) => memberOf(id));
    for (const node of this.#nodes.slice(0, size)) {
      node.writeBootstrapState({ voters, learners: [] });
    }
    this.#nodes.forEach((node) => node.start(0));
  }

  /**
   * Makes leaders add and remove members automatically from now on.
   *
   * @param minVoters number of voters below which no silent voter is removed
   */
  enableAutoMembership(minVoters: number): void {
    this.#minVoters = minVoters;
  }

  /** Applies one event. */
  applyEvent(event: ClusterEvent): void {
    switch (event.kind) {
      case "run":
        this.#run(event.ms);
        return;
      case "propose":
        this.#propose(this.#pick(event.node), event.count);
        return;
      case "loss":
        this.#network.loss = event.share;
        return;
      case "cut":
        this.#cutLink(this.#pick(event.from), this.#pick(event.to), event.both);
        return;
      case "isolate":
        this.#isolate(slotOf(this.#pick(event.node).id));
        return;
      case "heal":
        this.#network.heal();
        this.#isolated = [];
        this.#leaderPartition = null;
        return;
      case "ambush": {
        const terms = this.#nodes.map(({ replica }) => replica?.term ?? 0);
        this.#leaderPartition = new LeaderPartition(
          Math.max(...terms),
          event.appends,
          event.cut,
        );
        return;
      }
      case "pair":
        this.#connectPair(this.#pick(event.node), this.#pick(event.other));
        return;
      case "rejoin":
        this.#rejoin(this.#pick(event.node));
        return;
      case "crash":
        this.#pick(event.node).crash();
        return;
      case "restart":
        this.#restart(this.#pick(event.node));
        return;
      case "reboot": {
        const node = this.#pick(event.node);
        node.crash();
        this.#restart(node);
        return;
      }
      case "pause":
        this.#pick(event.node).pausedUntil = this.#time + event.ms;
        return;
      case "fillDisk":
        this.#pick(event.node).fullUntil = this.#time + event.ms;
        return;
      case "loseDisk":
        this.#loseDisk(this.#pick(event.node));
        return;
      case "snapshot":
        this.#nodes.forEach((node) => node.takeSnapshot(this.#time));
        return;
      case "transfer":
        this.#leaderStep((leader) => ({
          kind: "transferLeadership",
          to: pickByNumber(leader.membership.voters, event.node)?.id ?? "",
        }));
        return;
      case "addLearner":
      case "promote":
      case "remove":
        this.#changeMembership(event);
        return;
      default:
        protocol.errors.assertNever(event);
    }
  }

  /**
   * Expects exactly the existing nodes to become voters in limited time after
   * all faults ended.
   */
  expectAllNodesVoting(): void {
    const deadline = this.#time + RECOVERY_TIMEOUT_MS;
    while (this.#voters.join() !== [...this.#nodeIds].sort().join()) {
      if (this.#time > deadline) {
        throw new Error(
          `the voters differ from the existing nodes: ${this.#describe()}`,
        );
      }
      this.#run(100);
    }
  }

  get #voters(): string[] {
    const voters = this.#leader()?.replica?.membership.voters ?? [];
    return voters.map(({ id }) => id).sort();
  }

  /**
   * Ends all faults and expects every voter to apply a new entry in limited
   * time.
   */
  recover(): void {
    this.applyEvent({ kind: "heal" });
    this.#nodes.forEach((node) => {
      node.pausedUntil = 0;
      node.fullUntil = 0;
      this.#restart(node);
    });
    const target = this.checker.highestCommit + 1;
    const deadline = this.#time + RECOVERY_TIMEOUT_MS;
    while (!this.#allVotersReached(target)) {
      if (this.#time > deadline) {
        throw new Error(
          `not all voters applied entry ${target} in time: ${this.#describe()}`,
        );
      }
      this.#propose(this.#leader() ?? this.#pick(0), 1);
      this.#run(100);
    }
  }

  #newNode(slot: number): Node {
    this.#generation += 1;
    const isFast = this.#random() < 0.5;
    const clockRate = isFast ? 1 + CLOCK_DRIFT : 1 - CLOCK_DRIFT;
    const id = `n${slot}-${this.#generation}`;
    return new Node(id, clockRate, this.#environment);
  }

  #pick(number: number): Node {
    if (number >= FIRST_ISOLATED_NODE) {
      return this.#pickIsolated(number - FIRST_ISOLATED_NODE);
    }
    const leader = number < LEADER_NODE ? undefined : this.#leader();
    return leader ?? this.#nodes[number % this.#nodes.length] as Node;
  }

  /**
   * Returns the isolated node at a position, in order of isolation, or another
   * node if there is none.
   */
  #pickIsolated(position: number): Node {
    const slot = this.#isolated[position];
    const node = this.#nodes.find(({ id }) => slotOf(id) === slot);
    return node ?? this.#pick(position);
  }

  #run(ms: number): void {
    const end = this.#time + ms;
    while (this.#time < end) {
      this.#time += STEP_MS;
      this.#deliver();
      for (const node of this.#nodes) {
        if (node.isRunning(this.#time)) {
          node.run(this.#time);
        }
        this.#checkLeases();
      }
      if (this.#time % MEMBERSHIP_INTERVAL_MS === 0) {
        this.#proposeMembershipChanges();
      }
    }
  }

  /** Lets each leader propose a change, given the nodes that can reach it. */
  #proposeMembershipChanges(): void {
    const minVoters = this.#minVoters;
    if (minVoters === null) return;
    for (const node of this.#nodes) {
      const { replica } = node;
      const now = node.clock(this.#time);
      if (!node.isRunning(this.#time) || !replica?.hasLease(now)) continue;
      const slot = slotOf(node.id);
      const change = nextMembershipChange({
        membership: replica.membership,
        joining: this.#nodes
          .filter((other) => other.isRunning(this.#time))
          .filter(({ id }) => this.#network.isConnected(slot, slotOf(id)))
          .map(({ id }) => memberOf(id)),
        silenceMs: (id) => replica.lastReplyAgeMs(id, now) ?? Infinity,
        self: node.id,
        minVoters,
      });
      if (change === undefined) continue;
      this.#lastProposalId += 1;
      const id = this.#lastProposalId;
      node.step({ kind: "changeMembership", id, change }, this.#time);
    }
  }

  #checkLeases(): void {
    this.checker.checkLeases(this.#leaseHolders());
  }

  #leaseHolders(): replication.Replica[] {
    return this.#nodes.flatMap(({ replica, clockRate }) =>
      replica?.hasLease(this.#time * clockRate) ? [replica] : []
    );
  }

  /**
   * Delivers due messages; on a fast network a reply can arrive in the same
   * step as its request.
   */
  #deliver(): void {
    for (let round = 0; round < DELIVERY_ROUNDS_PER_STEP; round += 1) {
      this.#deliverOnce();
    }
  }

  #deliverOnce(): void {
    const due = this.#network.takeDue(this.#time, (to) => {
      const node = this.#byId(to);
      return node === undefined || this.#time >= node.pausedUntil;
    });
    for (const { from, to, message } of due) {
      const node = this.#byId(to);
      node?.step({ kind: "message", from, message }, this.#time);
      this.#checkLeases();
    }
  }

  #byId(id: string): Node | undefined {
    return this.#nodes.find((node) => node.id === id);
  }

  #send(from: string, to: string, message: replication.Message): void {
    if (this.#leaderPartition?.isTriggeredBy(message)) {
      const { cut } = this.#leaderPartition;
      this.#leaderPartition = null;
      this.#partition(cut, slotOf(from), slotOf(to));
    }
    this.#network.send(from, to, message, this.#time);
  }

  #partition(cut: PartitionSide, leader: string, follower: string): void {
    switch (cut) {
      case "leader":
        this.#isolate(leader);
        return;
      case "sends":
        this.#network.cut(leader, this.#others(leader));
        return;
      case "follower":
        this.#isolate(follower);
        return;
      default:
        protocol.errors.assertNever(cut);
    }
  }

  #propose(node: Node, count: number): void {
    const proposals: replication.Proposal[] = [];
    for (let position = 0; position < count; position += 1) {
      this.#lastProposalId += 1;
      const data = `command ${this.#lastProposalId}`;
      proposals.push({ id: this.#lastProposalId, data });
    }
    if (node.isRunning(this.#time)) {
      node.step({ kind: "propose", proposals }, this.#time);
    }
  }

  #cutLink(from: Node, to: Node, both: boolean): void {
    const [one, other] = [slotOf(from.id), slotOf(to.id)];
    this.#network.cut(one, [other]);
    if (both) {
      this.#network.cut(other, [one]);
    }
  }

  #isolate(slot: string): void {
    this.#network.isolate(slot, this.#others(slot));
    this.#isolated.push(slot);
  }

  #connectPair(one: Node, other: Node): void {
    const pair = [slotOf(one.id), slotOf(other.id)];
    const [first = "", second = ""] = pair;
    for (const slot of pair) {
      this.#network.isolate(slot, this.#others(slot));
    }
    this.#network.rejoin(first, [second]);
  }

  #rejoin(node: Node): void {
    const slot = slotOf(node.id);
    const connected = this.#others(slot)
      .filter((other) => !this.#isolated.includes(other));
    this.#network.rejoin(slot, connected);
  }

  #others(slot: string): string[] {
    return this.#nodes.map(({ id }) => slotOf(id))
      .filter((other) => other !== slot);
  }

  #restart(node: Node): void {
    if (node.replica === null) {
      node.start(this.#time);
    }
  }

  /**
   * Replaces a node by one with an empty disk, if a quorum of every effective
   * membership keeps its disks. A membership that only the lost disk held is
   * also dropped from the network; otherwise a second loss could leave that
   * membership without a quorum.
   */
  #loseDisk(lost: Node): void {
    const memberships = this.#nodes.flatMap(({ replica }) =>
      replica === null ? [] : [replica.membership]
    );
    const isSafe = memberships.length === this.#nodes.length &&
      keepsQuorums(memberships, this.#nodeIds, lost.id);
    if (isSafe) {
      this.#network.dropMemberships(lost.id);
      const slot = this.#nodes.indexOf(lost);
      const node = this.#newNode(slot);
      this.#nodes[slot] = node;
      node.start(this.#time);
    }
  }

  #changeMembership(event: MembershipEvent): void {
    const membership = this.#leader()?.replica?.membership;
    const change = membership === undefined
      ? null
      : toMembershipChange(event, membership, this.#nodeIds);
    if (change !== null) {
      this.#lastProposalId += 1;
      const id = this.#lastProposalId;
      this.#leaderStep(() => ({ kind: "changeMembership", id, change }));
    }
  }

  get #nodeIds(): string[] {
    return this.#nodes.map(({ id }) => id);
  }

  #leaderStep(
    makeInput: (leader: replication.Replica) => replication.Input,
  ): void {
    const leader = this.#leader();
    if (leader?.replica) {
      leader.step(makeInput(leader.replica), this.#time);
    }
  }

  #leader(): Node | undefined {
    const leaders = this.#nodes.filter((node) =>
      node.isRunning(this.#time) && node.replica?.role === "leader"
    );
    return leaders.sort((left, right) =>
      (right.replica?.term ?? 0) - (left.replica?.term ?? 0)
    )[0];
  }

  #allVotersReached(target: number): boolean {
    const voters = this.#leader()?.replica?.membership.voters ?? [];
    const present = voters
      .map(({ id }) => this.#byId(id))
      .filter((node) => node !== undefined);
    return present.length > 0 &&
      present.every(({ state }) => state.index >= target);
  }

  #describe(): string {
    return this.#nodes.map(({ id, replica, state }) =>
      `${id}=${replica?.role}/${replica?.term}/${state.index}/` +
      replica?.membership.voters.map((voter) => voter.id).join("+")
    ).join(" ");
  }
}
