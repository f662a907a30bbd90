/**
 * Simulation of backend servers, hosts and leaders on a simulated clock. The
 * test delivers, drops or delays each message.
 */
import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as intakes from "../../src/control/announcement_intake.ts";
import * as serverTable from "../../src/control/server_table.ts";
import * as announcementBuffer from "../../src/host/announcement_buffer.ts";

const MEMORY_BYTES = 1_000;

/** Backend server whose announced content the test changes. */
export class SimulatedServer {
  readonly id: string;
  /** Time at which a host last received an announcement of the server. */
  receivedAt = Number.NEGATIVE_INFINITY;
  #incarnation = 1;
  #sequence = 0;
  #models = 0;
  #running = 0;

  constructor(id: string) {
    this.id = id;
  }

  /** Sets the number of loaded models. */
  setLoadedModels(count: number): void {
    this.#models = count;
  }

  /** Sets the number of running requests. */
  setRunning(count: number): void {
    this.#running = count;
  }

  restart(): void {
    this.#incarnation++;
    this.#sequence = 0;
    this.#models = 0;
  }

  announce(): protocol.backend.Announcement {
    this.#sequence++;
    return {
      id: this.id,
      incarnation: `i${this.#incarnation}`,
      address: "http://127.0.0.1:9000",
      failureDomain: "fd-1",
      kind: "engine",
      services: ["advice"],
      memoryBytes: MEMORY_BYTES,
      loaded: Array.from({ length: this.#models }, (_, index) => ({
        model: `advice/m${index}`,
        version: "1",
        bytes: 10 + index,
      })),
      cached: [],
      concurrency: 4,
      running: this.#running,
      queued: this.#running % 2,
      checksFencing: true,
      leaving: false,
      sequence: this.#sequence,
    };
  }
}

/** State that a leader derives from announcements. */
export class SimulatedLeader {
  readonly placement: core.placement.Placement;
  readonly table: serverTable.ServerTable;
  readonly intake: intakes.AnnouncementIntake;

  constructor(now: number) {
    const shares = new core.limits.ShareAllocator();
    shares.takeLeadership({ term: 1, isFirst: true }, now);
    this.placement = new core.placement.Placement({
      sinceMs: now,
      earlierOrdersEndMs: now,
      lastInheritedIndex: 0,
    });
    this.table = new serverTable.ServerTable(shares, this.placement);
    this.intake = new intakes.AnnouncementIntake({
      placement: this.placement,
      servers: this.table,
    });
  }

  statuses(now: number): protocol.control.ServerStatus[] {
    this.table.update(new Set(), now);
    return this.table.statuses();
  }

  isUsable(id: string, now: number): boolean {
    return this.statuses(now).some((row) => row.id === id && row.usable);
  }
}

/** A message in flight from a host to the leader. */
export interface Message {
  readonly buffer: announcementBuffer.AnnouncementBuffer;
  readonly kind: "full" | "heartbeats";
  readonly sent: readonly announcementBuffer.BufferedAnnouncement[];
  /** JSON body, serialized when the message was sent. */
  readonly body: string;
}

/** Hosts that forward announcements to a leader and to a reference leader. */
export class AnnouncementSimulation {
  now = 10_000;
  readonly hosts: announcementBuffer.AnnouncementBuffer[];
  /** Receives the messages that the hosts send. */
  leader: SimulatedLeader;
  /** Receives in full each announcement that the leader accepted. */
  reference: SimulatedLeader;
  /** Number of announcements sent in full and as heartbeats. */
  readonly sentCounts = { full: 0, heartbeats: 0 };
  readonly #announced = new Map<string, protocol.backend.Announcement>();

  constructor(hosts = 2) {
    this.hosts = Array.from(
      { length: hosts },
      () => new announcementBuffer.AnnouncementBuffer(),
    );
    this.leader = new SimulatedLeader(this.now);
    this.reference = new SimulatedLeader(this.now);
  }

  changeLeader(): void {
    this.leader = new SimulatedLeader(this.now);
    this.reference = new SimulatedLeader(this.now);
  }

  restartHost(host: number): void {
    this.hosts[host] = new announcementBuffer.AnnouncementBuffer();
  }

  /** Sends an announcement of a server to a host. */
  announce(
    server: SimulatedServer,
    host: number,
  ): announcementBuffer.ForwardingMode {
    const announcement = server.announce();
    this.#announced.set(keyOf(announcement), announcement);
    server.receivedAt = this.now;
    return this.#bufferOf(host).add(announcement, this.now);
  }

  /** Returns the message that a host sends now; undefined if there is none. */
  send(host: number, kind: Message["kind"]): Message | undefined {
    const buffer = this.#bufferOf(host);
    const sent = kind === "full"
      ? buffer.takeFull(this.now)
      : buffer.takeHeartbeats(this.now);
    if (sent.length === 0) return undefined;
    this.sentCounts[kind] += sent.length;
    const rows = kind === "full"
      ? sent.map((item) =>
        announcementBuffer.toRelayedAnnouncement(item, this.now)
      )
      : sent.map((item) => announcementBuffer.toHeartbeat(item, this.now));
    return { buffer, kind, sent, body: JSON.stringify(rows) };
  }

  /** Delivers a message to the leader; its answer may be lost. */
  deliver(message: Message | undefined, isAnswered = true): void {
    if (message === undefined) return;
    const { buffer, sent, kind } = message;
    const unrecognized = this.#receive(message);
    if (!isAnswered) return this.drop(message);
    if (kind === "full") buffer.markAccepted(sent);
    else buffer.requireFull(unrecognized);
  }

  /** Reports to the host that a message was not answered. */
  drop(message: Message | undefined): void {
    if (message?.kind === "heartbeats") {
      message.buffer.requeueHeartbeats(message.sent);
    }
  }

  /** Delivers all buffered announcements of a host. */
  deliverAll(host: number): void {
    this.deliver(this.send(host, "heartbeats"));
    this.deliver(this.send(host, "full"));
  }

  /**
   * Returns a description if the leader differs from the reference leader or
   * holds an announcement that no server has sent.
   */
  findDifference(): string | undefined {
    const [actual, expected] = [this.leader, this.reference].map((leader) =>
      JSON.stringify([leader.placement.servers(), leader.statuses(this.now)])
    );
    if (actual !== expected) return `${actual} instead of ${expected}`;
    for (const { announcement } of this.leader.placement.servers()) {
      const announced = this.#announced.get(keyOf(announcement));
      if (JSON.stringify(announced) === JSON.stringify(announcement)) continue;
      return `never announced: ${JSON.stringify(announcement)}`;
    }
    return undefined;
  }

  #receive({ kind, body, sent }: Message): string[] {
    const rows = JSON.parse(body);
    if (kind === "full") {
      this.leader.intake.take(rows, this.now);
      this.reference.intake.take(rows, this.now);
      return [];
    }
    const heartbeats: protocol.control.ServerHeartbeat[] = rows.map(
      (row: object) => ({ running: 0, queued: 0, ...row }),
    );
    const unrecognized = this.leader.intake.takeHeartbeats(
      heartbeats,
      this.now,
    );
    const full = heartbeats.flatMap(({ id, ageMs }, index) =>
      unrecognized.includes(id) ? [] : [{ ...sent[index]!.announcement, ageMs }]
    );
    this.reference.intake.take(full, this.now);
    return unrecognized;
  }

  #bufferOf(host: number): announcementBuffer.AnnouncementBuffer {
    const buffer = this.hosts[host];
    if (buffer === undefined) throw new RangeError(`no host ${host}`);
    return buffer;
  }
}

function keyOf(announcement: protocol.backend.Announcement): string {
  const { id, incarnation, sequence } = announcement;
  return `${id}/${incarnation}/${sequence}`;
}
