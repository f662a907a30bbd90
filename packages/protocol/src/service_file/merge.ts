import * as configuration from "../configuration/mod.ts";
import type * as toml from "../toml/mod.ts";
import * as parse from "./parse.ts";

/** Collects the items of service files and the file that defines each. */
class ConfigurationMerger {
  readonly #workspaces = new Map<string, WithSource<configuration.Workspace>>();
  readonly #services = new Map<string, WithSource<configuration.Service>>();
  readonly findings: toml.Finding[] = [];

  add({ file, content }: parse.ParsedServiceFile): void {
    for (const workspace of content.workspaces) {
      this.#addWorkspace(workspace, file);
    }
    const { service, models, routes, tiers } = content;
    if (service === undefined) return;
    this.#addService({ ...service, models, routes, tiers }, file);
  }

  configuration(): configuration.Configuration {
    return {
      workspaces: sortByName(this.#workspaces),
      services: sortByName(this.#services),
    };
  }

  sourceFileOf(issue: configuration.Issue): string {
    const source = issue.service === undefined
      ? undefined
      : this.#services.get(issue.service);
    return source?.file ?? "configuration";
  }

  #addWorkspace(workspace: configuration.Workspace, file: string): void {
    const existing = this.#workspaces.get(workspace.name);
    if (existing === undefined) {
      this.#workspaces.set(workspace.name, { value: workspace, file });
      return;
    }
    const fields = differingFields(existing.value, workspace);
    if (fields.length === 0 && existing.file !== file) return;
    this.findings.push({
      file,
      path: `workspaces.${workspace.name}`,
      reason: existing.file === file
        ? "is described twice"
        : `differs from ${existing.file} in ${fields.join(", ")}`,
      hint: "describe the workspace in one file, or alike in both",
    });
  }

  #addService(service: configuration.Service, file: string): void {
    const existing = this.#services.get(service.name);
    if (existing === undefined) {
      this.#services.set(service.name, { value: service, file });
      return;
    }
    this.findings.push({
      file,
      path: "service.name",
      reason: `"${service.name}" is also described in ${existing.file}`,
      hint: "describe each service in one file",
    });
  }
}

interface WithSource<T> {
  readonly value: T;
  readonly file: string;
}

/**
 * Merges service files into one configuration. Items are sorted by name, so the
 * order of the files does not matter.
 *
 * @throws {parse.ServiceFileError} if files conflict or the result is invalid.
 * @example
 * ```ts
 * const merged = mergeServiceFiles([advice, orders]);
 * ```
 */
export function mergeServiceFiles(
  files: readonly parse.ParsedServiceFile[],
): configuration.Configuration {
  const merger = new ConfigurationMerger();
  for (const file of files) merger.add(file);
  const merged = merger.configuration();
  const issues = configuration.validateConfiguration(merged);
  const findings = [
    ...merger.findings,
    ...issues.map((issue) => ({
      file: merger.sourceFileOf(issue),
      path: issue.path,
      reason: issue.reason,
      hint: issue.hint,
    })),
  ];
  if (findings.length > 0) throw new parse.ServiceFileError(findings);
  return merged;
}

function differingFields(
  left: configuration.Workspace,
  right: configuration.Workspace,
): string[] {
  const keys = Object.keys(right) as (keyof configuration.Workspace)[];
  return keys.filter((key) => left[key] !== right[key]);
}

function sortByName<T extends { readonly name: string }>(
  items: ReadonlyMap<string, WithSource<T>>,
): T[] {
  const values = [...items.values()].map(({ value }) => value);
  return values.sort((a, b) => a.name < b.name ? -1 : a.name > b.name ? 1 : 0);
}
