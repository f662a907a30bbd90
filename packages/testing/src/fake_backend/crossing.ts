/** Longest wait for a partner to swap with, in milliseconds. */
const PARTNER_TIMEOUT_MS = 300;

/** Swaps the values of two callers that meet. */
export class Crossing<T> {
  #waiting: { value: T; resolve: (value: T) => void } | undefined;

  /** Returns the value of the next caller, or the own one if none comes. */
  async swap(value: T): Promise<T> {
    const partner = this.#waiting;
    if (partner !== undefined) {
      this.#waiting = undefined;
      partner.resolve(value);
      return partner.value;
    }
    return await new Promise<T>((resolve) => {
      const timer = setTimeout(() => {
        this.#waiting = undefined;
        resolve(value);
      }, PARTNER_TIMEOUT_MS);
      this.#waiting = {
        value,
        resolve: (other) => {
          clearTimeout(timer);
          resolve(other);
        },
      };
    });
  }
}
