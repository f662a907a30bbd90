import type { backend } from "@ebonypath/protocol";
import * as undici from "undici";

/** Longest wait for the answer to an announcement, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1_000;

/** What an announcer sends, and where. */
export interface AnnouncerOptions {
  readonly entries: readonly string[];
  readonly joinToken: string;
  readonly intervalMs: number;
  readonly isPaused: () => boolean;
  readonly describe: () => backend.Announcement;
}

/** Sends announcements to the first entry host that takes them. */
export class Announcer {
  /** Entry hosts, in the order in which they are tried. */
  entries: readonly string[];
  /** Announcements that were accepted. */
  accepted = 0;
  /** Why the last announcement was not accepted. */
  lastFailure: string | undefined;
  readonly #options: AnnouncerOptions;
  readonly #agent = new undici.Agent({ connections: 1 });
  readonly #timer: NodeJS.Timeout;
  #preferred = 0;
  #sending: Promise<void> | undefined;
  #again = false;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
    this.entries = options.entries;
    this.#timer = setInterval(() => this.announce(), options.intervalMs);
    this.announce();
  }

  /** Announces now, or right after the announcement under way. */
  announce(): void {
    if (this.#options.isPaused() || this.entries.length === 0) return;
    if (this.#sending !== undefined) {
      this.#again = true;
      return;
    }
    this.#sending = this.#send().finally(() => {
      this.#sending = undefined;
      const again = this.#again;
      this.#again = false;
      if (again) this.announce();
    });
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.entries = [];
    await this.#agent.destroy();
    await this.#sending;
  }

  async #send(): Promise<void> {
    const body = JSON.stringify(this.#options.describe());
    const { entries } = this;
    for (let offset = 0; offset < entries.length; offset += 1) {
      const index = (this.#preferred + offset) % entries.length;
      if (await this.#post(entries[index] as string, body)) {
        this.#preferred = index;
        this.accepted += 1;
        this.lastFailure = undefined;
        return;
      }
    }
  }

  async #post(origin: string, body: string): Promise<boolean> {
    try {
      const answer = await undici.request(
        `${origin}/v1/backend-servers/announcements`,
        {
          method: "POST",
          dispatcher: this.#agent,
          headers: {
            "authorization": `Bearer ${this.#options.joinToken}`,
            "content-type": "application/json",
          },
          body,
          signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
        },
      );
      const text = await answer.body.text();
      if (answer.statusCode < 300) return true;
      this.lastFailure = `${origin}: ${answer.statusCode} ${text}`;
    } catch (error) {
      this.lastFailure = `${origin}: ${error}`;
    }
    return false;
  }
}
