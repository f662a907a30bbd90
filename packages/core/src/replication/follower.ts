/**
 * Handling of append messages and heartbeats by a follower.
 *
 * @module
 */

import type { Context } from "./context.ts";
import type { Entry, Message } from "./types.ts";

type Append = Extract<Message, { kind: "append" }>;
type Heartbeat = Extract<Message, { kind: "heartbeat" }>;

/** Appends the leader's entries and acknowledges those that are synced. */
export class Follower {
  #context: Context;

  constructor(context: Context) {
    this.#context = context;
  }

  handleHeartbeat(from: string, message: Heartbeat): void {
    const { term } = this.#context;
    this.#context.sendAfterHardStateSync(from, {
      kind: "heartbeatReply",
      term,
      sentAt: message.sentAt,
    });
  }

  /**
   * Appends entries, or rejects them if the log does not match at the preceding
   * index.
   */
  handleAppend(from: string, message: Append): void {
    const { log } = this.#context;
    if (!isContiguous(message)) {
      return;
    }
    const { baseIndex } = log;
    const isCompacted = message.previousIndex < baseIndex;
    const hasPreviousEntry = isCompacted ||
      log.termAt(message.previousIndex) === message.previousTerm;
    if (!hasPreviousEntry) {
      this.#reject(from, message);
      return;
    }
    const entries = message.entries.filter(({ index }) => index > baseIndex);
    const newEntries = this.#newEntries(entries);
    this.#context.appendEntries(newEntries);
    this.#accept(from, message, newEntries.length > 0);
  }

  #newEntries(entries: Entry[]): Entry[] {
    const { log } = this.#context;
    const start = entries.findIndex(({ index, term }) =>
      log.termAt(index) !== term
    );
    return start === -1 ? [] : entries.slice(start);
  }

  #accept(from: string, message: Append, hasNewEntries: boolean): void {
    const context = this.#context;
    const { durableIndex } = context.syncTracker;
    const lastIndex = message.previousIndex + message.entries.length;
    context.advanceCommitIndex(Math.min(message.commitIndex, lastIndex));
    const awaitsSync = hasNewEntries ||
      (message.entries.length > 0 && lastIndex > durableIndex);
    const reply: Message = {
      kind: "appendReply",
      term: context.term,
      success: true,
      previousIndex: message.previousIndex,
      matchIndex: awaitsSync ? lastIndex : Math.min(lastIndex, durableIndex),
      sentAt: message.sentAt,
    };
    if (awaitsSync) {
      context.sendAfterAllSyncs(from, reply);
    } else {
      context.sendAfterHardStateSync(from, reply);
    }
  }

  #reject(from: string, message: Append): void {
    const { log, commitIndex, term } = this.#context;
    const { previousIndex, sentAt } = message;
    const hint = previousIndex > log.lastIndex
      ? log.lastIndex
      : log.lastIndexOfEarlierTerm(previousIndex);
    this.#context.sendAfterHardStateSync(from, {
      kind: "appendReply",
      term,
      success: false,
      previousIndex,
      matchIndex: Math.max(hint, commitIndex),
      sentAt,
    });
  }
}

function isContiguous({ previousIndex, entries }: Append): boolean {
  return entries.every(({ index }, position) =>
    index === previousIndex + position + 1
  );
}
