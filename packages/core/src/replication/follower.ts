/**
 * What a replica does with the messages of a leader.
 *
 * @module
 */

import type { Context } from "./context.ts";
import type { Entry, Message } from "./types.ts";

type Append = Extract<Message, { kind: "append" }>;
type Heartbeat = Extract<Message, { kind: "heartbeat" }>;

/** Takes up entries and acknowledges what is synced. */
export class Follower {
  #context: Context;

  constructor(context: Context) {
    this.#context = context;
  }

  /** Answers a heartbeat. */
  heartbeat(from: string, message: Heartbeat): void {
    const { term } = this.#context;
    this.#context.reply(from, {
      kind: "heartbeatReply",
      term,
      sentAt: message.sentAt,
    });
  }

  /** Takes up entries, or refuses them when what precedes them differs. */
  append(from: string, message: Append): void {
    const { log } = this.#context;
    if (!isContiguous(message)) {
      return;
    }
    const { baseIndex } = log;
    const isCompacted = message.previousIndex < baseIndex;
    const isKnown = isCompacted ||
      log.termAt(message.previousIndex) === message.previousTerm;
    if (!isKnown) {
      this.#reject(from, message);
      return;
    }
    const entries = message.entries.filter(({ index }) => index > baseIndex);
    const added = this.#newEntries(entries);
    this.#context.appendEntries(added);
    this.#accept(from, message, added.length > 0);
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
    const { durableIndex } = context.durability;
    const lastIndex = message.previousIndex + message.entries.length;
    context.commitTo(Math.min(message.commitIndex, lastIndex));
    const waits = hasNewEntries ||
      (message.entries.length > 0 && lastIndex > durableIndex);
    const reply: Message = {
      kind: "appendReply",
      term: context.term,
      success: true,
      previousIndex: message.previousIndex,
      matchIndex: waits ? lastIndex : Math.min(lastIndex, durableIndex),
      sentAt: message.sentAt,
    };
    if (waits) {
      context.sendAfterSync(from, reply);
    } else {
      context.reply(from, reply);
    }
  }

  #reject(from: string, message: Append): void {
    const { log, commitIndex, term } = this.#context;
    const { previousIndex, sentAt } = message;
    const hint = previousIndex > log.lastIndex
      ? log.lastIndex
      : log.endOfEarlierTerm(previousIndex);
    this.#context.reply(from, {
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
