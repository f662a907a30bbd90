/**
 * Server of the feed on the leader: one streaming response per host, with
 * newline-delimited JSON-RPC notifications.
 *
 * @module
 */
import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import type * as changeLog from "./change_log.ts";

/** A connection whose host reads too slowly is closed beyond this many bytes. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

/** An empty line shows that the connection and the leader are alive. */
const HEARTBEAT_LINE = "\n";

/** Body of the request that opens the feed of a host. */
export const FeedRequest = v.object({
  host: v.string(),
  /** Log index of the last change that the host applied; -1 if none. */
  index: v.number(),
});
export type FeedRequest = v.InferOutput<typeof FeedRequest>;

/** The state of the leader that is sent to a host when it connects. */
export interface FeedSource {
  term(): number;
  view(): protocol.state.FleetView;
  servers(): protocol.control.ServerStatus[];
  controlHosts(): protocol.control.ControlHost[];
  changes(): changeLog.ChangeLog;
}

/** Sends changes of the view, backend servers and control hosts to all hosts. */
export class FeedPublisher {
  readonly #source: FeedSource;
  readonly #connections = new Set<http.ServerResponse>();

  constructor(source: FeedSource) {
    this.#source = source;
  }

  /** Number of open feed connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Opens the feed of a host on `response` and sends the initial events. */
  attach(body: unknown, response: http.ServerResponse): void {
    const request = v.safeParse(FeedRequest, body);
    if (!request.success) {
      response.writeHead(400).end();
      return;
    }
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.on("close", () => this.#connections.delete(response));
    response.on("error", () => this.#connections.delete(response));
    this.#connections.add(response);
    for (const event of this.#initialEvents(request.output.index)) {
      response.write(encode(event));
    }
  }

  /** Sends an event to all connected hosts. */
  publish(event: protocol.control.FeedEvent): void {
    if (this.#connections.size === 0) return;
    this.#write(encode(event));
  }

  /**
   * Sends a heartbeat to all connected hosts. Call it only while the leader
   * holds its lease.
   */
  heartbeat(): void {
    this.#write(HEARTBEAT_LINE);
  }

  /** Closes all connections, so that the hosts look for the new leader. */
  [Symbol.dispose](): void {
    for (const connection of this.#connections) connection.destroy();
    this.#connections.clear();
  }

  #write(line: string): void {
    for (const connection of this.#connections) {
      if (connection.writableLength > MAX_BUFFERED_BYTES) {
        connection.destroy();
        continue;
      }
      connection.write(line);
    }
  }

  /**
   * Returns the events that bring a host at log index `index` up to date: the
   * missing changes, or a snapshot if they are no longer retained.
   */
  #initialEvents(index: number): protocol.control.FeedEvent[] {
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
