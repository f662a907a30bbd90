import type * as protocol from "@ebonypath/protocol";

/** A fault of a configuration that its schema cannot see. */
export interface Problem {
  /** For instance `services.advice.workspaces.hjorth`. */
  readonly path: string;
  readonly reason: string;
  readonly hint: string;
}

/**
 * Finds duplicate names and references to things that do not exist.
 *
 * @example
 * ```ts
 * const problems = validate(configuration);
 * if (problems.length > 0) report(problems);
 * ```
 */
export function validate(
  configuration: protocol.configuration.Configuration,
): Problem[] {
  const workspaces = configuration.workspaces.map(({ name }) => name);
  const services = configuration.services.map(({ name }) => name);
  const known = new Set(workspaces);
  return [
    ...duplicates("workspaces", workspaces),
    ...duplicates("services", services),
    ...configuration.services.flatMap((service) =>
      validateService(service, known)
    ),
  ];
}

function validateService(
  service: protocol.configuration.Service,
  workspaces: ReadonlySet<string>,
): Problem[] {
  const path = `services.${service.name}`;
  const routes = service.routes.map((route) => `${route.method} ${route.path}`);
  return [
    ...unknownWorkspaces(path, service, workspaces),
    ...duplicates(`${path}.workspaces`, service.workspaces),
    ...duplicates(`${path}.tiers`, service.tiers.map(({ name }) => name)),
    ...duplicates(`${path}.models`, service.models.map(({ name }) => name)),
    ...duplicates(`${path}.routes`, routes),
    ...service.models.flatMap((model) =>
      duplicates(
        `${path}.models.${model.name}.adapters`,
        model.adapters.map(({ name }) => name),
      )
    ),
    ...misplaced(path, service),
  ];
}

function unknownWorkspaces(
  path: string,
  service: protocol.configuration.Service,
  workspaces: ReadonlySet<string>,
): Problem[] {
  return service.workspaces
    .filter((name) => !workspaces.has(name))
    .map((name) => ({
      path: `${path}.workspaces.${name}`,
      reason: "the workspace is not defined",
      hint: "Define it under `workspaces`, or remove it here.",
    }));
}

function misplaced(
  path: string,
  service: protocol.configuration.Service,
): Problem[] {
  if (service.kind === "plain" && service.models.length > 0) {
    return [{
      path: `${path}.models`,
      reason: "a plain service has no models",
      hint: 'Set `kind = "model"`, or remove the models.',
    }];
  }
  if (service.kind === "model" && service.routes.length > 0) {
    return [{
      path: `${path}.routes`,
      reason: "a model service has no routes",
      hint: 'Set `kind = "plain"`, or remove the routes.',
    }];
  }
  return [];
}

function duplicates(path: string, names: readonly string[]): Problem[] {
  const seen = new Set<string>();
  const problems: Problem[] = [];
  for (const name of names) {
    if (seen.has(name)) {
      problems.push({
        path: `${path}.${name}`,
        reason: "the name stands twice",
        hint: "Keep one of the two.",
      });
    }
    seen.add(name);
  }
  return problems;
}
