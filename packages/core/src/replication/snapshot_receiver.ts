/**
 * Assembles the parts of a snapshot and installs it.
 *
 * @module
 */

import type { Context } from "./context.ts";
import type { Message, SnapshotMetadata } from "./types.ts";

const BASE64_GROUP_CHARACTERS = 4;
const BASE64_GROUP_BYTES = 3;

type SnapshotPart = Extract<Message, { kind: "snapshotPart" }>;
type IncomingSnapshot = {
  snapshot: SnapshotMetadata;
  offset: number;
  parts: string[];
};

/** Receives the parts of a snapshot in order. */
export class SnapshotReceiver {
  #context: Context;
  #incoming: IncomingSnapshot | null = null;

  constructor(context: Context) {
    this.#context = context;
  }

  /**
   * Accepts a part, replies with the next expected offset, and installs the
   * snapshot when it is complete.
   */
  receivePart(from: string, message: SnapshotPart): void {
    const context = this.#context;
    const { snapshot, sentAt } = message;
    if (snapshot.index <= context.commitIndex) {
      this.#incoming = null;
      this.#acknowledge(from, sentAt);
      return;
    }
    if (snapshot.bytes > context.settings.maxSnapshotBytes) {
      return;
    }
    const incoming = this.#incomingTransferOf(snapshot);
    const size = base64Size(message.data);
    if (message.offset === incoming.offset) {
      incoming.parts.push(message.data);
      incoming.offset += size;
      if (incoming.offset >= snapshot.bytes) {
        this.#install(incoming);
        this.#acknowledge(from, sentAt);
        return;
      }
    }
    context.sendAfterHardStateSync(from, {
      kind: "snapshotReply",
      term: context.term,
      index: snapshot.index,
      offset: incoming.offset,
      sentAt,
    });
  }

  #incomingTransferOf(snapshot: SnapshotMetadata): IncomingSnapshot {
    const current = this.#incoming;
    const isSame = current !== null &&
      current.snapshot.index === snapshot.index &&
      current.snapshot.term === snapshot.term &&
      current.snapshot.bytes === snapshot.bytes;
    if (isSame) {
      return current;
    }
    this.#incoming = { snapshot, offset: 0, parts: [] };
    return this.#incoming;
  }

  #acknowledge(from: string, sentAt: number): void {
    const { term, commitIndex, syncTracker } = this.#context;
    const reply: Message = {
      kind: "appendReply",
      term,
      success: true,
      previousIndex: commitIndex,
      matchIndex: commitIndex,
      sentAt,
    };
    if (commitIndex > syncTracker.durableIndex) {
      this.#context.sendAfterAllSyncs(from, reply);
    } else {
      this.#context.sendAfterHardStateSync(from, reply);
    }
  }

  #install({ snapshot, parts }: IncomingSnapshot): void {
    const context = this.#context;
    const { log, memberships, syncTracker } = context;
    const { index, term, membership } = snapshot;
    const keepEntries = log.termAt(index) === term;
    this.#incoming = null;
    if (keepEntries) {
      log.compact(index);
      memberships.compact(index);
    } else {
      log.reset(index, term);
      memberships.reset(index, membership);
      syncTracker.truncateFrom(1);
    }
    context.snapshot = snapshot;
    context.commitIndex = index;
    context.appliedIndex = index;
    const sequence = syncTracker.beginSync(index, {
      changesHardState: false,
      installsSnapshot: true,
    });
    context.emit({
      kind: "installSnapshot",
      sequence,
      snapshot,
      parts,
      keepEntries,
    });
    context.emitMembership();
  }
}

function base64Size(data: string): number {
  const padding = data.endsWith("==") ? 2 : data.endsWith("=") ? 1 : 0;
  return data.length / BASE64_GROUP_CHARACTERS * BASE64_GROUP_BYTES - padding;
}
