import type { gateway } from "@ebonypath/protocol";

/**
 * Finds the route of a request by its host and path.
 *
 * @example
 * ```ts
 * const routes = new RouteTable(configuration.routes);
 * const route = routes.match("shop.example", "/orders/17");
 * ```
 */
export class RouteTable {
  /** Routes by host, the longest prefix first. */
  readonly #byHost = new Map<string, gateway.Route[]>();

  constructor(routes: readonly gateway.Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const known = this.#byHost.get(host) ?? [];
      known.push(route);
      this.#byHost.set(host, known);
    }
    for (const known of this.#byHost.values()) {
      known.sort((one, other) =>
        other.pathPrefix.length - one.pathPrefix.length
      );
    }
  }

  /**
   * @param host as in the header `Host`; a port is passed over
   * @param target path, perhaps with a query
   */
  match(host: string, target: string): gateway.Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, "");
    const path = target.split("?", 1)[0] ?? target;
    return this.#byHost.get(name)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }
}

/**
 * Chooses a service of a route by the weights of its split.
 *
 * @param random uniformly distributed in [0, 1)
 *
 * @example
 * ```ts
 * const service = serviceOf(route, Math.random());
 * ```
 */
export function pickService(
  { split }: gateway.Route,
  random: number,
): string | undefined {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random * total;
  for (const { service, weight } of split) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return split.findLast(({ weight }) => weight > 0)?.service;
}
