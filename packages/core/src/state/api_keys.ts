import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";

type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** API keys in a snapshot. */
export interface ApiKeysSnapshot {
  readonly keys: readonly protocol.state.Key[];
  readonly withdrawn: readonly string[];
}

/** API keys of the workspaces, by id and by digest. */
export class ApiKeys {
  readonly #limits: types.Limits;
  readonly #byId = new Map<string, protocol.state.Key>();
  readonly #byDigest = new Map<string, protocol.state.Key>();
  /**
   * Ids of withdrawn keys, oldest first. They aren't granted again: a late
   * proposal must not bring a withdrawn key back.
   */
  readonly #withdrawn = new Set<string>();

  constructor(limits: types.Limits, snapshot?: ApiKeysSnapshot) {
    this.#limits = limits;
    for (const key of snapshot?.keys ?? []) this.#put(key);
    for (const id of snapshot?.withdrawn ?? []) this.#withdrawn.add(id);
  }

  get(digest: string): protocol.state.Key | undefined {
    return this.#byDigest.get(digest);
  }

  list(): protocol.state.Key[] {
    return [...this.#byId.values()];
  }

  grant(
    command: Command<"grant-key">,
    position: types.LogPosition,
  ): types.ApplyResult {
    if (this.#byId.size >= this.#limits.keys) {
      return results.withoutViewChanges(
        results.full("too many keys are granted"),
      );
    }
    if (this.#byId.has(command.keyId) || this.#withdrawn.has(command.keyId)) {
      return results.withoutViewChanges(
        results.invalid("the key id is used already"),
      );
    }
    if (this.#byDigest.has(command.digest)) {
      return results.withoutViewChanges(
        results.invalid("the key is granted already"),
      );
    }
    const key = {
      id: command.keyId,
      digest: command.digest,
      workspace: command.workspace,
      label: command.label,
      grantedMs: position.timeMs,
    };
    this.#put(key);
    return {
      result: results.done(position.index),
      changes: [{ kind: "key-granted", key }],
    };
  }

  withdraw(
    command: Command<"withdraw-key">,
    position: types.LogPosition,
  ): types.ApplyResult {
    const key = this.#byId.get(command.keyId);
    if (key === undefined) {
      return results.withoutViewChanges(
        results.notFound(`no key ${command.keyId}`),
      );
    }
    this.#byId.delete(key.id);
    this.#byDigest.delete(key.digest);
    this.#rememberWithdrawn(key.id);
    return {
      result: results.done(position.index),
      changes: [{ kind: "key-withdrawn", keyId: key.id }],
    };
  }

  toSnapshot(): ApiKeysSnapshot {
    return { keys: this.list(), withdrawn: [...this.#withdrawn] };
  }

  #put(key: protocol.state.Key): void {
    this.#byId.set(key.id, key);
    this.#byDigest.set(key.digest, key);
  }

  #rememberWithdrawn(id: string): void {
    this.#withdrawn.add(id);
    if (this.#withdrawn.size <= this.#limits.keys) return;
    for (const oldest of this.#withdrawn) {
      this.#withdrawn.delete(oldest);
      return;
    }
  }
}
