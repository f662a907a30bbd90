import type * as types from "./types.ts";

/** A semantic error in a configuration. */
export interface Issue {
  /** Service that contains the error; undefined for a workspace. */
  readonly service: string | undefined;
  /** Path of the invalid field, e.g. `service.workspaces`. */
  readonly path: string;
  readonly reason: string;
  readonly hint: string;
}

/**
 * Checks the rules that the schema can't express: names are unique, workspaces
 * exist, and the models and routes of a service match its kind.
 *
 * @example
 * ```ts
 * const issues = validateConfiguration(configuration);
 * ```
 */
export function validateConfiguration(
  configuration: types.Configuration,
): Issue[] {
  const workspaces = new Set(configuration.workspaces.map(({ name }) => name));
  return [
    ...findDuplicates(configuration.workspaces.map(({ name }) => name))
      .map((name) => duplicateIssue(undefined, "workspaces", name)),
    ...findDuplicates(configuration.services.map(({ name }) => name))
      .map((name) => duplicateIssue(name, "service", name)),
    ...configuration.services.flatMap((service) => [
      ...findDuplicateNames(service),
      ...findUnknownWorkspaces(service, workspaces),
      ...findKindMismatches(service),
    ]),
  ];
}

/**
 * Formats an issue as one line, without its hint.
 *
 * @example
 * ```ts
 * validateConfiguration(configuration).map(renderIssue);
 * ```
 */
export function renderIssue({ service, path, reason }: Issue): string {
  const location = service === undefined ? path : `${service}: ${path}`;
  return `${location} ${reason}`;
}

function findDuplicateNames(service: types.Service): Issue[] {
  const issues: Issue[] = [];
  const lists: [path: string, names: string[]][] = [
    ["service.workspaces", service.workspaces],
    ["models", service.models.map(({ name }) => name)],
    ["tiers", service.tiers.map(({ name }) => name)],
    ["routes", service.routes.map(({ method, path }) => `${method} ${path}`)],
    ...service.models.map((model): [string, string[]] => [
      `models.${model.name}.adapters`,
      model.adapters.map(({ name }) => name),
    ]),
  ];
  for (const [path, names] of lists) {
    for (const name of findDuplicates(names)) {
      issues.push(duplicateIssue(service.name, path, name));
    }
  }
  return issues;
}

function findUnknownWorkspaces(
  service: types.Service,
  known: ReadonlySet<string>,
): Issue[] {
  return service.workspaces
    .filter((name) => !known.has(name))
    .map((name) => ({
      service: service.name,
      path: "service.workspaces",
      reason: `names the unknown workspace "${name}"`,
      hint: `add [[workspaces]] with name = "${name}" to one of the files`,
    }));
}

function findKindMismatches(service: types.Service): Issue[] {
  const issue = (path: string, reason: string, hint: string): Issue => ({
    service: service.name,
    path,
    reason,
    hint,
  });
  const issues: Issue[] = [];
  if (service.kind === "model") {
    if (service.models.length === 0) {
      issues.push(issue("models", "is empty", "add [[models]]"));
    }
    if (service.routes.length > 0) {
      const hint = 'remove them, or set kind = "plain"';
      issues.push(issue("routes", "stand in a service of kind model", hint));
    }
    return issues;
  }
  if (service.routes.length === 0) {
    issues.push(issue("routes", "is empty", "add [[routes]]"));
  }
  if (service.models.length > 0) {
    const hint = 'remove them, or set kind = "model"';
    issues.push(issue("models", "stand in a service of kind plain", hint));
  }
  for (const { path } of service.routes) {
    if (!path.slice(0, -1).includes("*")) continue;
    const hint = "put the * at the end";
    issues.push(issue("routes", `have "${path}" with a * inside`, hint));
  }
  return issues;
}

function findDuplicates(names: readonly string[]): string[] {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) duplicates.add(name);
    seen.add(name);
  }
  return [...duplicates];
}

function duplicateIssue(
  service: string | undefined,
  path: string,
  name: string,
): Issue {
  const reason = `names "${name}" twice`;
  return { service, path, reason, hint: "give each entry a name of its own" };
}
