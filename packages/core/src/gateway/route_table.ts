import type { gateway } from "@ebonypath/protocol";

/**
 * Matches requests to routes by host and path prefix.
 *
 * @example
 * ```ts
 * const routes = new RouteTable(configuration.routes);
 * const route = routes.match("shop.example", "/orders/17");
 * ```
 */
export class RouteTable {
  /** Routes by host; the longest path prefix comes first. */
  readonly #byHost = new Map<string, gateway.Route[]>();

  constructor(routes: readonly gateway.Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const routesOfHost = this.#byHost.get(host) ?? [];
      routesOfHost.push(route);
      this.#byHost.set(host, routesOfHost);
    }
    for (const routesOfHost of this.#byHost.values()) {
      routesOfHost.sort((one, other) =>
        other.pathPrefix.length - one.pathPrefix.length
      );
    }
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host value of the `Host` header; a port is ignored
   * @param target request target: a path, optionally with a query
   */
  match(host: string, target: string): gateway.Route | undefined {
    const hostname = host.toLowerCase().replace(/:\d+$/, "");
    const path = target.split("?", 1)[0] ?? target;
    return this.#byHost.get(hostname)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }
}

/**
 * Picks a service of a route at random, by the weights of its traffic split.
 *
 * @param random uniformly distributed in [0, 1)
 *
 * @example
 * ```ts
 * const service = pickService(route, Math.random());
 * ```
 */
export function pickService(
  { split }: gateway.Route,
  random: number,
): string | undefined {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of split) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return split.findLast(({ weight }) => weight > 0)?.service;
}
