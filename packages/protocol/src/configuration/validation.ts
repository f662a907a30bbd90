import type * as types from "./types.ts";

/** A contradiction inside a configuration. */
export interface Issue {
  /** The service in which it stands; absent for a workspace. */
  readonly service: string | undefined;
  /** What it is about, for instance `tiers.now`. */
  readonly path: string;
  readonly reason: string;
  readonly hint: string;
}

/**
 * Checks what the schema can't: names used twice, unknown workspaces, and
 * services that offer nothing.
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
    ...findRepeated(configuration.workspaces.map(({ name }) => name))
      .map((name) => repeated(undefined, "workspaces", name)),
    ...findRepeated(configuration.services.map(({ name }) => name))
      .map((name) => repeated(name, "service", name)),
    ...configuration.services.flatMap((service) => [
      ...checkNames(service),
      ...checkWorkspaces(service, workspaces),
      ...checkKind(service),
    ]),
  ];
}

/**
 * Renders a flaw as one line, without its hint.
 *
 * @example
 * ```ts
 * validateConfiguration(configuration).map(renderIssue);
 * ```
 */
export function renderIssue({ service, path, reason }: Issue): string {
  const place = service === undefined ? path : `${service}: ${path}`;
  return `${place} ${reason}`;
}

function checkNames(service: types.Service): Issue[] {
  const flaws: Issue[] = [];
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
    for (const name of findRepeated(names)) {
      flaws.push(repeated(service.name, path, name));
    }
  }
  return flaws;
}

function checkWorkspaces(
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

function checkKind(service: types.Service): Issue[] {
  const flaw = (path: string, reason: string, hint: string): Issue => ({
    service: service.name,
    path,
    reason,
    hint,
  });
  const flaws: Issue[] = [];
  if (service.kind === "model") {
    if (service.models.length === 0) {
      flaws.push(flaw("models", "is empty", "add [[models]]"));
    }
    if (service.routes.length > 0) {
      const hint = 'remove them, or set kind = "plain"';
      flaws.push(flaw("routes", "stand in a service of kind model", hint));
    }
    return flaws;
  }
  if (service.routes.length === 0) {
    flaws.push(flaw("routes", "is empty", "add [[routes]]"));
  }
  if (service.models.length > 0) {
    const hint = 'remove them, or set kind = "model"';
    flaws.push(flaw("models", "stand in a service of kind plain", hint));
  }
  for (const { path } of service.routes) {
    if (!path.slice(0, -1).includes("*")) continue;
    const hint = "put the * at the end";
    flaws.push(flaw("routes", `have "${path}" with a * inside`, hint));
  }
  return flaws;
}

function findRepeated(names: readonly string[]): string[] {
  const seen = new Set<string>();
  const found = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) found.add(name);
    seen.add(name);
  }
  return [...found];
}

function repeated(
  service: string | undefined,
  path: string,
  name: string,
): Issue {
  const reason = `names "${name}" twice`;
  return { service, path, reason, hint: "give each entry a name of its own" };
}
