/**
 * The leader's side of the feed: one long response a host, with notifications
 * separated by newlines.
 *
 * @module
 */
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as changeLog from "./change_log.ts";

/** A host this far behind in reading loses its link, in bytes. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** A line without an event shows that the link and the leader live. */
const HEARTBEAT_LINE = "\n";

/** What a host says when it opens its feed. */
export const FeedRequest = v.object({
  host: v.string(),
  /** Log index of the last change that the host applied; -1 for none. */
  index: v.number(),
});
export type FeedRequest = v.InferOutput<typeof FeedRequest>;

/** What the publisher reads when a host connects. */
export interface FeedSource {
  term(): number;
  view(): protocol.state.FleetView;
  servers(): protocol.control.ServerStatus[];
  controlHosts(): protocol.control.ControlHost[];
  changes(): changeLog.ChangeLog;
}

/** Sends changes of the view and of the backend servers to all hosts. */
export class FeedPublisher {
  readonly #source: FeedSource;
  readonly #links = new Set<http.ServerResponse>();

  constructor(source: FeedSource) {
    this.#source = source;
  }

  /** Hosts with an open link. */
  get linkCount(): number {
    return this.#links.size;
  }

  /** Opens the feed of one host. */
  attach(body: unknown, response: http.ServerResponse): void {
    const request = v.safeParse(FeedRequest, body);
    if (!request.success) {
      response.writeHead(400).end();
      return;
    }
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.on("close", () => this.#links.delete(response));
    response.on("error", () => this.#links.delete(response));
    this.#links.add(response);
    for (const event of this.#firstEvents(request.output.index)) {
      response.write(encode(event));
    }
  }

  /** Sends one event on every link. */
  publish(event: protocol.control.FeedEvent): void {
    if (this.#links.size === 0) return;
    this.#write(encode(event));
  }

  /** Keeps the links alive; to be called only under the lease. */
  heartbeat(): void {
    this.#write(HEARTBEAT_LINE);
  }

  /** Ends all links: the hosts look for the next leader. */
  [Symbol.dispose](): void {
    for (const link of this.#links) link.destroy();
    this.#links.clear();
  }

  #write(line: string): void {
    for (const link of this.#links) {
      if (link.writableLength > MAX_UNSENT_BYTES) {
        link.destroy();
        continue;
      }
      link.write(line);
    }
  }

  /** What a host at `index` needs: the changes, or everything. */
  #firstEvents(index: number): protocol.control.FeedEvent[] {
    const changes = this.#source.changes().since(index);
    const servers = this.#source.servers();
    const controlHosts = this.#source.controlHosts();
    if (changes === null) {
      return [{
        kind: "snapshot",
        term: this.#source.term(),
        view: this.#source.view(),
        servers,
        controlHosts,
      }];
    }
    return [
      { kind: "changes", index: this.#source.changes().index, changes },
      { kind: "all-servers", servers },
      { kind: "control-hosts", controlHosts },
    ];
  }
}

function encode(event: protocol.control.FeedEvent): string {
  const notification = {
    jsonrpc: "2.0",
    method: protocol.control.FEED_METHOD,
    params: event,
  };
  return JSON.stringify(notification) + "\n";
}
