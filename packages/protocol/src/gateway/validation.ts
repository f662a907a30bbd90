import type * as types from "./configuration.ts";

/**
 * Checks a configuration for errors that the schema can't express.
 *
 * @returns a description of the first error, or `undefined`
 *
 * @example
 * ```ts
 * const error = findConfigurationError(configuration);
 * if (error !== undefined) return reject(400, error);
 * ```
 */
export function findConfigurationError(
  configuration: types.Configuration,
): string | undefined {
  return findRoutingError(configuration) ??
    findKeyError(configuration.workspaces ?? []);
}

function findRoutingError(
  { routes, services }: types.Configuration,
): string | undefined {
  const serviceNames = new Set(services.map(({ name }) => name));
  if (serviceNames.size < services.length) {
    return "two services have the same name";
  }
  const matchers = new Set<string>();
  for (const route of routes) {
    const error = findRouteError(route, serviceNames);
    if (error !== undefined) return `route ${route.name}: ${error}`;
    const matcher = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (matchers.has(matcher)) {
      return `route ${route.name}: another route has its host and prefix`;
    }
    matchers.add(matcher);
  }
  return undefined;
}

function findRouteError(
  route: types.Route,
  serviceNames: ReadonlySet<string>,
): string | undefined {
  if (route.timeoutMs <= 0) return "its timeout is 0";
  const { pathPrefix, split } = route;
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    return "its prefix does not begin and end with a slash";
  }
  const unknown = split.find(({ service }) => !serviceNames.has(service));
  if (unknown !== undefined) return `there is no service ${unknown.service}`;
  const totalWeight = split.reduce((sum, { weight }) => sum + weight, 0);
  return totalWeight > 0 ? undefined : "its weights add up to 0";
}

function findKeyError(
  workspaces: readonly types.Workspace[],
): string | undefined {
  const ownerByKey = new Map<string, types.Workspace>();
  for (const workspace of workspaces) {
    for (const key of workspace.keys) {
      const owner = ownerByKey.get(key);
      if (owner !== undefined && owner !== workspace) {
        return `workspaces ${owner.name} and ${workspace.name} share a key`;
      }
      ownerByKey.set(key, workspace);
    }
  }
  return undefined;
}
