import type { gateway } from "@ebonypath/protocol";
import { isSameOrigin } from "./stream_origins.ts";

/** Streams that a host remembers at most; the oldest are forgotten first. */
const MAX_STREAMS = 20_000;
/** Streams that one report holds at most; the next one holds others. */
const MAX_REPORTED_STREAMS = 10_000;

/** A server at the time when a stream was sent to it. */
export type StreamServer = Pick<gateway.ServerRecord, "id" | "born"> & {
  readonly softwareVersion: string;
};

/** What is known of a stream when it begins or is resumed. */
export type StreamStart = {
  /** Id of the request that began it; absent if the caller sent none. */
  readonly id: string | undefined;
  readonly origin: gateway.StreamOrigin;
  /** Whether its route distributes requests to several services. */
  readonly isRouteSplit: boolean;
  /** Monotonic time until which its caller may resume it, in milliseconds. */
  readonly expiresAt: number;
};

/** A stream that this host relays, or whose connection broke before its end. */
export type OwnStream = StreamStart & {
  /** Servers that it was relayed from. */
  readonly servers: StreamServer[];
  /** Whether it may have begun elsewhere than was known. */
  isUncertain: boolean;
  /** Term in which the leader was told of it; 0 if it was not. */
  reportedTerm: number;
};

/** What a host knows of the servers. */
export interface StreamServers {
  /** The last known start of a server. */
  server(id: string): StreamServer | undefined;
  /** Whether a service has run several software versions lately. */
  isMixed(service: string): boolean;
}

/**
 * An entry host's record of its streams. It tells the leader of those that a
 * caller may resume at another host and whose origin that host could not infer.
 *
 * @example
 * ```ts
 * const stream = streams.begin({ id, origin, isRouteSplit: false, expiresAt }, now);
 * streams.addServer(stream, server);
 * streams.end(stream);
 * ```
 */
export class OwnStreams {
  readonly #servers: StreamServers;
  /** By id, the oldest first. */
  readonly #streams = new Map<string, OwnStream>();
  /** Services of the streams so far. */
  readonly #services = new Set<string>();
  /** Whether a stream had a route to several services. */
  #hasSplitRoutes = false;

  constructor(servers: StreamServers) {
    this.#servers = servers;
  }

  /** Records a stream that begins, or one that is resumed through this host. */
  begin(start: StreamStart, now: number): OwnStream {
    const { id } = start;
    const known = id === undefined ? undefined : this.#streams.get(id);
    if (known !== undefined) {
      if (isSameOrigin(start.origin, known.origin)) return known;
      // Which of two streams with the same id is resumed can't be told.
      known.isUncertain = true;
      known.reportedTerm = 0;
    }
    const stream = {
      ...start,
      servers: [],
      isUncertain: false,
      reportedTerm: 0,
    };
    if (id !== undefined && known === undefined) this.#add(id, stream, now);
    return stream;
  }

  /** Records that a stream is relayed from a server. */
  addServer({ servers }: OwnStream, server: StreamServer): void {
    const { born, id, softwareVersion } = server;
    servers.push({ id, born, softwareVersion });
  }

  /**
   * Forgets a stream that has reached its caller whole, unless there is another
   * one with its id.
   */
  end({ id }: OwnStream): void {
    if (id === undefined || this.#streams.get(id)?.isUncertain) return;
    this.#streams.delete(id);
  }

  /** Where a stream began that this host has relayed. */
  find(id: string, now: number): gateway.StreamOrigin | undefined {
    const stream = this.#streams.get(id);
    return stream === undefined || now >= stream.expiresAt
      ? undefined
      : this.originOf(stream);
  }

  /**
   * Where a stream began. A server may have come back under its id with another
   * version before this host heard of it: what the host took for its earlier
   * start may have been the later one.
   */
  originOf(stream: OwnStream): gateway.StreamOrigin {
    if (!stream.isUncertain && this.#mayHaveOtherVersion(stream)) {
      stream.isUncertain = true;
      stream.reportedTerm = 0;
    }
    return stream.isUncertain
      ? { ...stream.origin, softwareVersion: null }
      : stream.origin;
  }

  /** Whether the leader of a term has to be told of a stream. */
  isNews(stream: OwnStream, term: number): boolean {
    if (stream.id === undefined || !this.#needsReport(stream)) return false;
    this.originOf(stream);
    return stream.reportedTerm !== term;
  }

  /** Whether the leader of a term has to be told of any stream. */
  hasNews(term: number, now: number): boolean {
    const mayBeReported = this.#hasSplitRoutes ||
      [...this.#services].some((service) => this.#servers.isMixed(service));
    return mayBeReported && this.#unreported(term, now).next().done !== true;
  }

  /** Streams that the leader of a term has to be told of. */
  collect(term: number, now: number): gateway.ReportedStream[] {
    const reported: gateway.ReportedStream[] = [];
    for (const [id, stream] of this.#unreported(term, now)) {
      const remainingMs = stream.expiresAt - now;
      reported.push({ id, ...this.originOf(stream), remainingMs });
      if (reported.length === MAX_REPORTED_STREAMS) break;
    }
    return reported;
  }

  /** Records that the leader of a term was told of streams. */
  acknowledge(reported: readonly gateway.ReportedStream[], term: number): void {
    for (const { id, softwareVersion } of reported) {
      const stream = this.#streams.get(id);
      if (stream === undefined) continue;
      const current = this.originOf(stream).softwareVersion;
      if (current === softwareVersion) stream.reportedTerm = term;
    }
  }

  *#unreported(
    term: number,
    now: number,
  ): Generator<[id: string, stream: OwnStream]> {
    for (const [id, stream] of this.#streams) {
      if (now >= stream.expiresAt) this.#streams.delete(id);
      else if (this.isNews(stream, term)) yield [id, stream];
    }
  }

  /** Whether other hosts can't infer the origin of a stream. */
  #needsReport({ isRouteSplit, origin }: OwnStream): boolean {
    return isRouteSplit || this.#servers.isMixed(origin.service);
  }

  #mayHaveOtherVersion({ servers }: OwnStream): boolean {
    return servers.some(({ born, id, softwareVersion }) => {
      const current = this.#servers.server(id);
      return current !== undefined && current.born !== born &&
        current.softwareVersion !== softwareVersion;
    });
  }

  #add(id: string, stream: OwnStream, now: number): void {
    this.#streams.set(id, stream);
    this.#services.add(stream.origin.service);
    this.#hasSplitRoutes ||= stream.isRouteSplit;
    for (const [oldest, { expiresAt }] of this.#streams) {
      if (now < expiresAt && this.#streams.size <= MAX_STREAMS) return;
      this.#streams.delete(oldest);
    }
  }
}
