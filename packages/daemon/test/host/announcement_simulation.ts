/**
 * Backend servers, hosts and leaders on one simulated clock, with messages that
 * a test delivers, loses or holds back.
 */
import * as core from "@ebonypath/core";
import type * as protocol from "@ebonypath/protocol";
import * as intakes from "../../src/control/announcement_intake.ts";
import * as serverTable from "../../src/control/server_table.ts";
import * as announcementBuffer from "../../src/host/announcement_buffer.ts";

const MEMORY_BYTES = 1_000;

/** A backend server that changes what it announces. */
export class Server {
  readonly id: string;
  /** When a host received an announcement of it last. */
  receivedAt = Number.NEGATIVE_INFINITY;
  #incarnation = 1;
  #sequence = 0;
  #models = 0;
  #running = 0;

  constructor(id: string) {
    this.id = id;
  }

  /** Loads `count` models in all. */
  load(count: number): void {
    this.#models = count;
  }

  run(count: number): void {
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

/** What a leader derives from announcements. */
export class Leader {
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

/** A message of a host that is under way. */
export interface Message {
  readonly book: announcementBuffer.AnnouncementBuffer;
  readonly kind: "full" | "heartbeats";
  readonly held: readonly announcementBuffer.BufferedAnnouncement[];
  /** Its rendering, made when it was sent. */
  readonly body: string;
}

/** See the module. */
export class World {
  now = 10_000;
  readonly hosts: announcementBuffer.AnnouncementBuffer[];
  /** Leads with what hosts send. */
  leader: Leader;
  /** Gets in full whatever the leader took. */
  reference: Leader;
  /** Announcements passed on in each form. */
  readonly passed = { full: 0, heartbeats: 0 };
  readonly #made = new Map<string, protocol.backend.Announcement>();

  constructor(hosts = 2) {
    this.hosts = Array.from(
      { length: hosts },
      () => new announcementBuffer.AnnouncementBuffer(),
    );
    this.leader = new Leader(this.now);
    this.reference = new Leader(this.now);
  }

  changeLeader(): void {
    this.leader = new Leader(this.now);
    this.reference = new Leader(this.now);
  }

  restartHost(host: number): void {
    this.hosts[host] = new announcementBuffer.AnnouncementBuffer();
  }

  /** A server announces itself at a host. */
  announce(server: Server, host: number): announcementBuffer.ForwardingMode {
    const announcement = server.announce();
    this.#made.set(keyOf(announcement), announcement);
    server.receivedAt = this.now;
    return this.#book(host).add(announcement, this.now);
  }

  /** What a host sends now; undefined when nothing waits. */
  send(host: number, kind: Message["kind"]): Message | undefined {
    const book = this.#book(host);
    const held = kind === "full"
      ? book.takeFull(this.now)
      : book.takeHeartbeats(this.now);
    if (held.length === 0) return undefined;
    this.passed[kind] += held.length;
    const rows = kind === "full"
      ? held.map((one) =>
        announcementBuffer.toRelayedAnnouncement(one, this.now)
      )
      : held.map((one) => announcementBuffer.toHeartbeat(one, this.now));
    return { book, kind, held, body: JSON.stringify(rows) };
  }

  /** The leader takes a message; its answer may be lost. */
  deliver(message: Message | undefined, isAnswered = true): void {
    if (message === undefined) return;
    const { book, held, kind } = message;
    const unrecognized = this.#take(message);
    if (!isAnswered) return this.lose(message);
    if (kind === "full") book.markForwarded(held);
    else book.requireFull(unrecognized);
  }

  /** A message was not answered. */
  lose(message: Message | undefined): void {
    if (message?.kind === "heartbeats") {
      message.book.requeueHeartbeats(message.held);
    }
  }

  /** Delivers all that a host has to send, until nothing waits. */
  settle(host: number): void {
    this.deliver(this.send(host, "heartbeats"));
    this.deliver(this.send(host, "full"));
  }

  /** The first difference between the leader and its reference. */
  difference(): string | undefined {
    const [own, wanted] = [this.leader, this.reference].map((one) =>
      JSON.stringify([one.placement.servers(), one.statuses(this.now)])
    );
    if (own !== wanted) return `${own} instead of ${wanted}`;
    for (const { announcement } of this.leader.placement.servers()) {
      const made = this.#made.get(keyOf(announcement));
      if (JSON.stringify(made) === JSON.stringify(announcement)) continue;
      return `never announced: ${JSON.stringify(announcement)}`;
    }
    return undefined;
  }

  #take({ kind, body, held }: Message): string[] {
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
      unrecognized.includes(id) ? [] : [{ ...held[index]!.announcement, ageMs }]
    );
    this.reference.intake.take(full, this.now);
    return unrecognized;
  }

  #book(host: number): announcementBuffer.AnnouncementBuffer {
    const book = this.hosts[host];
    if (book === undefined) throw new RangeError(`no host ${host}`);
    return book;
  }
}

function keyOf(announcement: protocol.backend.Announcement): string {
  const { id, incarnation, sequence } = announcement;
  return `${id}/${incarnation}/${sequence}`;
}
