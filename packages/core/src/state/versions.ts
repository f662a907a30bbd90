import type * as protocol from "@ebonypath/protocol";
import * as results from "./results.ts";
import type * as types from "./types.ts";
import * as verdicts from "./verdicts.ts";

type Configuration = protocol.configuration.Configuration;
type Command<Kind> = Extract<protocol.state.Command, { kind: Kind }>;

/** A published version of the configuration. */
export interface ConfigurationVersion {
  /** Log index that published it; 0 for the initial empty configuration. */
  readonly version: number;
  readonly operator: string;
  readonly timeMs: number;
  readonly configuration: Configuration;
}

const INITIAL_VERSION: ConfigurationVersion = {
  version: 0,
  operator: "",
  timeMs: 0,
  configuration: { workspaces: [], services: [] },
};

/** The current version of the configuration and the newest ones before it. */
export class Versions {
  readonly #limits: types.Limits;
  /** Oldest first; the last one is the current version. */
  #versions: ConfigurationVersion[];
  #workspaces = new Map<string, protocol.configuration.Workspace>();

  constructor(
    limits: types.Limits,
    savedVersions: readonly ConfigurationVersion[] = [INITIAL_VERSION],
  ) {
    this.#limits = limits;
    this.#versions = [...savedVersions];
    this.#indexWorkspaces();
  }

  current(): ConfigurationVersion {
    return this.#versions.at(-1) ?? INITIAL_VERSION;
  }

  get(version: number): ConfigurationVersion | undefined {
    return this.#versions.find((known) => known.version === version);
  }

  /** Lists the versions kept for rollback, oldest first. */
  list(): readonly ConfigurationVersion[] {
    return this.#versions;
  }

  workspace(name: string): protocol.configuration.Workspace | undefined {
    return this.#workspaces.get(name);
  }

  /**
   * Publishes a configuration if `base` is the current version
   * (compare-and-set). A command of a build that added no verdict is validated
   * here, as that build did.
   */
  publish(
    command: Command<"publish">,
    position: types.LogPosition,
  ): types.ApplyResult {
    const current = this.current();
    if (command.base !== current.version) {
      return results.withoutViewChanges({
        kind: "version-conflict",
        version: current.version,
        operator: current.operator,
        timeMs: current.timeMs,
      });
    }
    const verdict = command.verdict ??
      verdicts.validateConfiguration(command.configuration);
    if (verdict.kind === "flawed") {
      return results.withoutViewChanges(results.invalid(verdict.reason));
    }
    return this.#append(command, position);
  }

  toSnapshot(): ConfigurationVersion[] {
    return [...this.#versions];
  }

  #append(
    command: Command<"publish">,
    position: types.LogPosition,
  ): types.ApplyResult {
    const { configuration, operator } = command;
    const version = position.index;
    const timeMs = position.timeMs;
    this.#versions.push({ version, operator, timeMs, configuration });
    if (this.#versions.length > this.#limits.versions) this.#versions.shift();
    this.#indexWorkspaces();
    return {
      result: results.done(version),
      changes: [{ kind: "configuration", version, configuration }],
    };
  }

  #indexWorkspaces(): void {
    const { workspaces } = this.current().configuration;
    this.#workspaces = new Map(workspaces.map((item) => [item.name, item]));
  }
}
