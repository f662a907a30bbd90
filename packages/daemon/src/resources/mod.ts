/**
 * Disposal of the resources that a process has opened.
 *
 * Node 20 has `Symbol.asyncDispose`, but no `AsyncDisposableStack`.
 *
 * @module
 */

/** Disposes of its resources in the reverse order of their registration. */
export class ResourceStack implements AsyncDisposable {
  readonly #disposers: (() => void | PromiseLike<void>)[] = [];

  /**
   * Registers a resource for disposal and returns it.
   *
   * @example
   * ```ts
   * const client = stack.use(new RpcClient(options));
   * ```
   */
  use<Resource extends Disposable | AsyncDisposable>(
    resource: Resource,
  ): Resource {
    this.#disposers.push(() =>
      Symbol.asyncDispose in resource
        ? resource[Symbol.asyncDispose]()
        : resource[Symbol.dispose]()
    );
    return resource;
  }

  /** Registers a callback that runs when the stack is disposed of. */
  defer(dispose: () => void | PromiseLike<void>): void {
    this.#disposers.push(dispose);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    while (this.#disposers.length > 0) await this.#disposers.pop()?.();
  }
}
