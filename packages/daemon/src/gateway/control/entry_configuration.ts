import type { gateway } from "@ebonypath/protocol";

/**
 * The configuration that entry hosts get: without the models of the engines and
 * the limits of scaling. Only the leader uses them, and the models are most of a
 * document.
 */
export class EntryConfiguration {
  #current: gateway.Configuration | undefined;

  /** The part of a configuration for entry hosts; made once a version. */
  of(configuration: gateway.Configuration): gateway.Configuration {
    if (this.#current?.version !== configuration.version) {
      this.#current = {
        ...configuration,
        services: configuration.services.map(({ scaling: _, ...service }) =>
          service.engine === undefined
            ? service
            : { ...service, engine: { ...service.engine, models: [] } }
        ),
      };
    }
    return this.#current;
  }
}
