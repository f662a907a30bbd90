import * as crypto from "node:crypto";
import type { configuration, operators } from "@ebonypath/protocol";
import * as undici from "undici";

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 10_000;
/** Random bytes of keys and change ids. */
const ID_BYTES = 12;

/** A refused call of an operator. */
export class OperatorError extends Error {
  override readonly name = "OperatorError";
  readonly status: number;

  constructor(status: number, text: string) {
    super(`${status} ${text}`);
    this.status = status;
  }
}

/** Calls the operators' interface of one host. */
export class OperatorClient {
  readonly #origin: string;
  readonly #token: string;

  constructor(origin: string, token: string) {
    this.#origin = origin;
    this.#token = token;
  }

  /** Calls any route; throws `OperatorError` unless it is accepted. */
  async call<T>(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: object,
  ): Promise<T> {
    const answer = await undici.request(this.#origin + path, {
      method,
      headers: {
        "authorization": `Bearer ${this.#token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
      reset: true,
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) {
      throw new OperatorError(answer.statusCode, text);
    }
    return JSON.parse(text) as T;
  }

  /** Publishes on top of the version in force and returns the new one. */
  async publish(configuration: configuration.Configuration): Promise<number> {
    const { version: base } = await this.status();
    const { index } = await this.call<operators.ChangeResponse>(
      "POST",
      "/v1/configuration",
      { changeId: newId(), base, configuration },
    );
    return index;
  }

  /** Grants a new key to a workspace and returns it with its id. */
  async grantKey(workspace: string): Promise<{ id: string; key: string }> {
    const id = `key-${newId()}`;
    const key = `ep_${newId()}`;
    const digest = crypto.createHash("sha256").update(key).digest("hex");
    await this.call("POST", "/v1/keys", {
      changeId: newId(),
      keyId: id,
      digest,
      workspace,
      label: "test",
    });
    return { id, key };
  }

  async withdrawKey(id: string): Promise<void> {
    await this.call("DELETE", `/v1/keys/${id}?change_id=${newId()}`);
  }

  async moveFailureDomain(
    name: string,
    action: "withdraw" | "restore",
  ): Promise<void> {
    await this.call("POST", `/v1/failure-domains/${name}/${action}`, {
      changeId: newId(),
    });
  }

  async status(): Promise<operators.Status> {
    return await this.call("GET", "/v1/status");
  }

  async hosts(): Promise<operators.Hosts["hosts"]> {
    return (await this.call<operators.Hosts>("GET", "/v1/hosts")).hosts;
  }
}

function newId(): string {
  return crypto.randomBytes(ID_BYTES).toString("hex");
}
