import * as configuration from "../configuration/mod.ts";
import type * as toml from "../toml/mod.ts";
import * as parse from "./parse.ts";

/** What the files say so far, and which file said it. */
class Merge {
  readonly #workspaces = new Map<string, Named<configuration.Workspace>>();
  readonly #services = new Map<string, Named<configuration.Service>>();
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

  fileOf(flaw: configuration.Issue): string {
    const named = flaw.service === undefined
      ? undefined
      : this.#services.get(flaw.service);
    return named?.file ?? "configuration";
  }

  #addWorkspace(workspace: configuration.Workspace, file: string): void {
    const known = this.#workspaces.get(workspace.name);
    if (known === undefined) {
      this.#workspaces.set(workspace.name, { value: workspace, file });
      return;
    }
    const fields = differingFields(known.value, workspace);
    if (fields.length === 0 && known.file !== file) return;
    this.findings.push({
      file,
      path: `workspaces.${workspace.name}`,
      reason: known.file === file
        ? "is described twice"
        : `differs from ${known.file} in ${fields.join(", ")}`,
      hint: "describe the workspace in one file, or alike in both",
    });
  }

  #addService(service: configuration.Service, file: string): void {
    const known = this.#services.get(service.name);
    if (known === undefined) {
      this.#services.set(service.name, { value: service, file });
      return;
    }
    this.findings.push({
      file,
      path: "service.name",
      reason: `"${service.name}" is also described in ${known.file}`,
      hint: "describe each service in one file",
    });
  }
}

interface Named<T> {
  readonly value: T;
  readonly file: string;
}

/**
 * Merges service files into one configuration, sorted by name so that the
 * order of the files does not matter.
 *
 * @throws {parse.ServiceFileError} when files contradict one another.
 * @example
 * ```ts
 * const merged = mergeServiceFiles([advice, orders]);
 * ```
 */
export function mergeServiceFiles(
  files: readonly parse.ParsedServiceFile[],
): configuration.Configuration {
  const merge = new Merge();
  for (const file of files) merge.add(file);
  const merged = merge.configuration();
  const flaws = configuration.validateConfiguration(merged);
  const findings = [
    ...merge.findings,
    ...flaws.map((flaw) => ({
      file: merge.fileOf(flaw),
      path: flaw.path,
      reason: flaw.reason,
      hint: flaw.hint,
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
  items: ReadonlyMap<string, Named<T>>,
): T[] {
  const values = [...items.values()].map(({ value }) => value);
  return values.sort((a, b) => a.name < b.name ? -1 : a.name > b.name ? 1 : 0);
}
