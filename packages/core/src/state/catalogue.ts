import type * as protocol from "@ebonypath/protocol";

type Configuration = protocol.configuration.Configuration;
type Service = protocol.configuration.Service;
type Route = protocol.configuration.Route;

/** What a model reference names. */
export interface ResolvedModel {
  readonly service: Service;
  readonly model: protocol.configuration.Model;
  readonly adapter: protocol.configuration.Adapter | undefined;
  /** `service/model`, without the adapter. */
  readonly base: string;
}

/** What a call of a plain service names. */
export interface ResolvedRoute {
  readonly service: Service;
  readonly route: Route;
}

interface ServiceIndex {
  readonly service: Service;
  readonly workspaces: ReadonlySet<string>;
  /** Routes by method and path without a wildcard. */
  readonly exact: ReadonlyMap<string, Route>;
  /** Routes that end in `*`, the longest path first. */
  readonly wildcards: readonly Route[];
}

/**
 * Indexes of one configuration, built once per version.
 *
 * @example
 * ```ts
 * const resolved = catalogue.model("advice/size-7b:retail");
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
      configuration.services.map((item) => [item.name, indexService(item)]),
    );
    this.#models = new Map(
      configuration.services.flatMap(resolveModels).map((item) => [
        referenceOf(item),
        item,
      ]),
    );
  }

  workspace(name: string): protocol.configuration.Workspace | undefined {
    return this.#workspaces.get(name);
  }

  /** Every workspace. */
  workspaces(): readonly protocol.configuration.Workspace[] {
    return this.configuration.workspaces;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name)?.service;
  }

  /** Whether a workspace may use a service. */
  isAllowed(service: string, workspace: string): boolean {
    const index = this.#services.get(service);
    return index !== undefined && index.workspaces.has(workspace);
  }

  /** Resolves `service/model` or `service/model:adapter`. */
  resolveModel(reference: string): ResolvedModel | undefined {
    return this.#models.get(reference);
  }

  /** References of every model and adapter that a workspace may use. */
  referencesAllowedTo(workspace: string): string[] {
    return [...this.#models]
      .filter(([, { service }]) => this.isAllowed(service.name, workspace))
      .map(([reference]) => reference);
  }

  /** Every model and adapter. */
  listModels(): [string, ResolvedModel][] {
    return [...this.#models];
  }

  /** Finds the route of a path below `/services/{service}`. */
  resolveRoute(
    service: string,
    method: string,
    path: string,
  ): ResolvedRoute | undefined {
    const index = this.#services.get(service);
    if (index === undefined) return undefined;
    const route = index.exact.get(`${method} ${path}`) ??
      index.wildcards.find((candidate) =>
        candidate.method === method &&
        path.startsWith(candidate.path.slice(0, -1))
      );
    return route === undefined ? undefined : { service: index.service, route };
  }

  /** A tier by name; the first tier of the service without a name. */
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

/** The catalogue of the empty configuration. */
export const EMPTY_CATALOGUE = new Catalogue({ workspaces: [], services: [] });

function indexService(service: Service): ServiceIndex {
  const wildcards = service.routes.filter(({ path }) => path.endsWith("*"));
  const exact = service.routes.filter(({ path }) => !path.endsWith("*"));
  return {
    service,
    workspaces: new Set(service.workspaces),
    exact: new Map(
      exact.map((route) => [`${route.method} ${route.path}`, route]),
    ),
    wildcards: wildcards.sort((a, b) => b.path.length - a.path.length),
  };
}

function resolveModels(service: Service): ResolvedModel[] {
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

function referenceOf({ base, adapter }: ResolvedModel): string {
  return adapter === undefined ? base : `${base}:${adapter.name}`;
}
