import type * as types from "./configuration.ts";

/**
 * Finds what makes a configuration unusable, or nothing.
 *
 * @example
 * ```ts
 * const fault = faultOf(configuration);
 * if (fault !== undefined) return refuse(400, fault);
 * ```
 */
export function findConfigurationError(
  configuration: types.Configuration,
): string | undefined {
  return routeFault(configuration) ?? keyFault(configuration.workspaces ?? []);
}

function routeFault(
  { routes, services }: types.Configuration,
): string | undefined {
  const known = new Set(services.map(({ name }) => name));
  if (known.size < services.length) return "two services have the same name";
  const places = new Set<string>();
  for (const route of routes) {
    const fault = faultOfRoute(route, known);
    if (fault !== undefined) return `route ${route.name}: ${fault}`;
    const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (places.has(place)) {
      return `route ${route.name}: another route has its host and prefix`;
    }
    places.add(place);
  }
  return undefined;
}

function faultOfRoute(
  route: types.Route,
  services: ReadonlySet<string>,
): string | undefined {
  if (route.timeoutMs <= 0) return "its timeout is 0";
  const { pathPrefix, split } = route;
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    return "its prefix does not begin and end with a slash";
  }
  const unknown = split.find(({ service }) => !services.has(service));
  if (unknown !== undefined) return `there is no service ${unknown.service}`;
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  return total > 0 ? undefined : "its weights add up to 0";
}

function keyFault(workspaces: readonly types.Workspace[]): string | undefined {
  const holders = new Map<string, string>();
  for (const { keys, name } of workspaces) {
    for (const key of keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== name) {
        return `workspaces ${holder} and ${name} share a key`;
      }
      holders.set(key, name);
    }
  }
  return undefined;
}
