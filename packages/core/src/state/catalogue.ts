import type * as protocol from "@ebonypath/protocol";

type Configuration = protocol.configuration.Configuration;
type Service = protocol.configuration.Service;
type Route = protocol.configuration.Route;

/** Configuration entries that a model reference resolves to. */
export interface ResolvedModel {
  readonly service: Service;
  readonly model: protocol.configuration.Model;
  readonly adapter: protocol.configuration.Adapter | undefined;
  /** Reference of the base model: `service/model`, without the adapter. */
  readonly base: string;
}

/** Configuration entries that a call of a plain service resolves to. */
export interface ResolvedRoute {
  readonly service: Service;
  readonly route: Route;
}

interface ServiceIndex {
  readonly service: Service;
  readonly workspaces: ReadonlySet<string>;
  /** Routes without a wildcard, by method and path. */
  readonly exactRoutes: ReadonlyMap<string, Route>;
  /** Routes whose path ends in `*`; the longest path comes first and wins. */
  readonly wildcardRoutes: readonly Route[];
}

/**
 * Lookup indexes over one configuration, built once per version.
 *
 * @example
 * ```ts
 * const resolved = catalogue.resolveModel("advice/size-7b:retail");
 * ```
 */
export class Catalogue {
  readonly configuration: Configuration;
  readonly #workspaces: ReadonlyMap<
    string,
    protocol.configuration.Workspace
  >;
  readonly #services: ReadonlyMap<string, ServiceIndex>;
  readonly #models: ReadonlyMap<string, ResolvedModel>;

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    this.#workspaces = new Map(
      configuration.workspaces.map((item) => [item.name, item]),
    );
    this.#services = new Map(
      configuration.services.map((
        item,
      ) => [item.name, buildServiceIndex(item)]),
    );
    this.#models = new Map(
      configuration.services.flatMap(listServiceModels).map((item) => [
        formatReference(item),
        item,
      ]),
    );
  }

  workspace(name: string): protocol.configuration.Workspace | undefined {
    return this.#workspaces.get(name);
  }

  workspaces(): readonly protocol.configuration.Workspace[] {
    return this.configuration.workspaces;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name)?.service;
  }

  /** Returns whether a workspace may use a service. */
  isAllowed(service: string, workspace: string): boolean {
    const index = this.#services.get(service);
    return index !== undefined && index.workspaces.has(workspace);
  }

  /** Resolves `service/model` or `service/model:adapter`. */
  resolveModel(reference: string): ResolvedModel | undefined {
    return this.#models.get(reference);
  }

  /** Lists references of the models and adapters that a workspace may use. */
  referencesAllowedTo(workspace: string): string[] {
    return [...this.#models]
      .filter(([, { service }]) => this.isAllowed(service.name, workspace))
      .map(([reference]) => reference);
  }

  /** Lists all models and adapters with their references. */
  listModels(): [string, ResolvedModel][] {
    return [...this.#models];
  }

  /** Finds the route for a path below `/services/{service}`. */
  resolveRoute(
    service: string,
    method: string,
    path: string,
  ): ResolvedRoute | undefined {
    const index = this.#services.get(service);
    if (index === undefined) return undefined;
    const route = index.exactRoutes.get(`${method} ${path}`) ??
      index.wildcardRoutes.find((candidate) =>
        candidate.method === method &&
        path.startsWith(candidate.path.slice(0, -1))
      );
    return route === undefined ? undefined : { service: index.service, route };
  }

  /**
   * Returns the named tier of a service; its first tier if no name is given.
   */
  tier(
    service: string,
    name?: string,
  ): protocol.configuration.Tier | undefined {
    const tiers = this.#services.get(service)?.service.tiers ?? [];
    return name === undefined
      ? tiers[0]
      : tiers.find((tier) => tier.name === name);
  }
}

/** Catalogue of the empty configuration. */
export const EMPTY_CATALOGUE = new Catalogue({ workspaces: [], services: [] });

function buildServiceIndex(service: Service): ServiceIndex {
  const wildcardRoutes = service.routes.filter(({ path }) =>
    path.endsWith("*")
  );
  const exactRoutes = service.routes.filter(({ path }) => !path.endsWith("*"));
  return {
    service,
    workspaces: new Set(service.workspaces),
    exactRoutes: new Map(
      exactRoutes.map((route) => [`${route.method} ${route.path}`, route]),
    ),
    wildcardRoutes: wildcardRoutes.sort((a, b) =>
      b.path.length - a.path.length
    ),
  };
}

function listServiceModels(service: Service): ResolvedModel[] {
  return service.models.flatMap((model) => {
    const base = `${service.name}/${model.name}`;
    const adapters = model.adapters.map((adapter) => ({
      service,
      model,
      adapter,
      base,
    }));
    return [{ service, model, adapter: undefined, base }, ...adapters];
  });
}

function formatReference({ base, adapter }: ResolvedModel): string {
  return adapter === undefined ? base : `${base}:${adapter.name}`;
}
