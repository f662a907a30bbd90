/**
 * Ownership of what a process has opened.
 *
 * Node 20 has `Symbol.asyncDispose`, but no `AsyncDisposableStack`.
 *
 * @module
 */

/** Disposes of what it owns in the reverse order of taking it. */
export class ResourceStack implements AsyncDisposable {
  readonly #owned: (() => void | PromiseLike<void>)[] = [];

  /**
   * Takes a resource and returns it.
   *
   * @example
   * ```ts
   * const client = stack.use(new RpcClient(options));
   * ```
   */
  use<Resource extends Disposable | AsyncDisposable>(
    resource: Resource,
  ): Resource {
    this.#owned.push(() =>
      Symbol.asyncDispose in resource
        ? resource[Symbol.asyncDispose]()
        : resource[Symbol.dispose]()
    );
    return resource;
  }

  /** Calls `dispose` when the stack is disposed of. */
  defer(dispose: () => void | PromiseLike<void>): void {
    this.#owned.push(dispose);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    while (this.#owned.length > 0) await this.#owned.pop()?.();
  }
}
